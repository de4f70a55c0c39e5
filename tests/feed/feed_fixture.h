#pragma once

#include "feed/operator_reader.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cyclamenhatch::feed::testing {

inline constexpr instant start{microseconds(1'000'000'000)};

inline section make_section(const std::string& service, const std::string& prefix) {
    section content;
    content.service.name = service_id(service);
    content.service.owner = owner_id("members");
    route new_route;
    new_route.name = route_id("route-" + service);
    new_route.service = content.service.name;
    new_route.path_prefix = prefix;
    content.routes.push_back(new_route);
    return content;
}

/// Test format: the document is the path prefix of the single service's route, or "bad" for a
/// malformed one; an order is its target version; a record is "STATE MOVE".
inline config_format make_format() {
    config_format format;
    format.document_key = "op/document";
    format.orders_prefix = "op/orders/";
    format.evacuations_prefix = "op/evacuate/";
    format.watched_prefix = "op/";
    format.records_prefix = "records/";
    format.read_document = [](std::string_view text) -> result<operators_document> {
        if (text == "bad") {
            return findings{
                {.path = "document", .problem = "cannot be read", .remedy = "write it"}};
        }
        return operators_document{.sections = {make_section("ledger", std::string(text))}};
    };
    format.read_order = [](std::string_view text) -> result<move_order> {
        return move_order{service_id("ledger"), version_id(std::string(text)), seconds{10}};
    };
    format.read_record = [](std::string_view text) -> result<move_record> {
        const auto space = text.find(' ');
        move_record record{.service = service_id("ledger"),
                           .target_version = version_id("v2"),
                           .move = move_id(std::string(text.substr(space + 1))),
                           .state = record_state::running,
                           .reason = {}};
        if (text.starts_with("done")) {
            record.state = record_state::done;
        } else if (text.starts_with("back")) {
            record.state = record_state::taken_back;
        }
        return record;
    };
    format.write_record = [](const move_record& record) {
        const auto* state = record.state == record_state::done         ? "done "
                            : record.state == record_state::taken_back ? "back "
                                                                       : "running ";
        return state + record.move.value;
    };
    return format;
}

/// In-memory key-value service with one revision counter; answers synchronously.
struct fake_store {
    std::map<std::string, store::kv_entry> items;
    std::int64_t revision = 10;

    void put(const std::string& key, const std::string& value) {
        items[key] = {key, value, ++revision};
    }

    void erase(const std::string& key) {
        items.erase(key);
        ++revision;
    }

    store::kv_response answer(const store::kv_request& request) {
        if (const auto* read = std::get_if<store::kv_range>(&request.operation)) {
            store::kv_entries matches{.revision = revision, .entries = {}};
            for (const auto& [key, entry] : items) {
                if (read->is_prefix ? key.starts_with(read->key) : key == read->key) {
                    matches.entries.push_back(entry);
                }
            }
            return {request.id, matches};
        }
        const auto& swap = std::get<store::kv_transaction>(request.operation);
        for (const auto& compare : swap.compares) {
            const auto it = items.find(compare.key);
            if ((it == items.end() ? 0 : it->second.mod_revision) != compare.mod_revision) {
                return {request.id, store::kv_transaction_done{.succeeded = false}};
            }
        }
        for (const auto& entry : swap.puts) {
            put(entry.key, entry.value);
        }
        return {request.id, store::kv_transaction_done{.revision = revision, .succeeded = true}};
    }
};

/// A reader whose requests are answered at once, except for watches: their responses are delivered
/// by the test.
struct reader_fixture {
    fake_store store;
    operator_reader reader = make_operator_reader(make_format(), start);
    random_source random{1};
    instant now = start;
    snapshot_ptr snapshot;
    findings rejection_reasons;
    /// Of all versions.
    findings notices;
    config_version rejected_version;
    std::uint64_t watch = 0;
    std::int64_t watch_revision = 0;
    bool is_store_unavailable = false;
    std::vector<log_event> logs;

    void handle(reader_actions& actions) {
        logs.insert(logs.end(), actions.logs.begin(), actions.logs.end());
        if (actions.snapshot) {
            EXPECT_TRUE(!snapshot || actions.snapshot->version > snapshot->version);
            snapshot = actions.snapshot;
        }
        notices.insert(notices.end(), actions.notices.begin(), actions.notices.end());
        if (!actions.rejection_reasons.empty()) {
            rejection_reasons = actions.rejection_reasons;
            rejected_version = actions.rejected_version;
        }
        std::deque<store::kv_request> requests(actions.requests.begin(), actions.requests.end());
        for (const auto& request : requests) {
            if (const auto* watch_request = std::get_if<store::kv_watch>(&request.operation)) {
                watch = request.id;
                watch_revision = watch_request->from_revision;
            } else if (!std::holds_alternative<store::kv_watch_cancel>(request.operation)) {
                respond(
                    is_store_unavailable
                        ? store::kv_response{request.id,
                                             store::kv_failure{store::kv_failure_kind::not_run, ""}}
                        : store.answer(request));
            }
        }
    }

    void respond(const store::kv_response& response) {
        reader_actions actions;
        EXPECT_TRUE(on_response(reader, response, now, random, actions));
        handle(actions);
    }

    void start_watching() {
        reader_actions actions;
        set_watching(reader, true, now, actions);
        handle(actions);
    }

    void tick(milliseconds elapsed) {
        now += elapsed;
        reader_actions actions;
        on_tick(reader, now, random, actions);
        handle(actions);
    }

    /// Delivers the current value of a key as a change to the watch.
    void deliver_change(const std::string& key) {
        respond({watch, store::kv_changes{store.revision, {{store.items.at(key), false}}}});
    }

    /// Deletes a key and delivers that to the watch.
    void erase_watched(const std::string& key) {
        store.erase(key);
        respond({watch, store::kv_changes{store.revision, {{{key, "", store.revision}, true}}}});
    }

    [[nodiscard]] std::string prefix() const {
        return snapshot
                   ? snapshot->sections.at(service_id("ledger"))->content.routes.front().path_prefix
                   : "none";
    }

    /// The evacuated data centres of the last snapshot, each followed by a space.
    [[nodiscard]] std::string evacuated() const {
        std::string names;
        if (snapshot && snapshot->fleet) {
            for (const auto& name : snapshot->fleet->content.evacuated) {
                names += name.value + " ";
            }
        }
        return names;
    }
};

} // namespace cyclamenhatch::feed::testing
