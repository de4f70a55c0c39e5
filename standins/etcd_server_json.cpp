#include "etcd_server_json.h"

#include "document/document.h"
#include "store/base64.h"

#include <charconv>
#include <utility>

namespace cyclamenhatch::standin {
namespace {

using store::decode_base64;
using store::encode_base64;

std::string read_bytes(const document& json, std::string_view key) {
    return decode_base64(text_or(json, key, "")).value_or("");
}

std::int64_t read_number(const document& json, std::string_view key) {
    const auto text = text_or(json, key, "");
    if (text.empty()) {
        return number_or(json, key, 0);
    }
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

const document::array* read_items(const document& json, std::string_view key) {
    const document* member = find_member(json, key);
    return member == nullptr ? nullptr : std::get_if<document::array>(&member->value);
}

store::kv_put read_put(const document& json) {
    return {read_bytes(json, "key"), read_bytes(json, "value"), read_number(json, "lease")};
}

void read_change(const document& json, store::kv_transaction& transaction) {
    if (const document* put = find_member(json, "request_put")) {
        transaction.puts.push_back(read_put(*put));
    } else if (const document* removal = find_member(json, "request_delete_range")) {
        transaction.deletes.push_back(read_bytes(*removal, "key"));
    }
}

store::kv_transaction read_transaction(const document& json) {
    store::kv_transaction transaction;
    if (const auto* compares = read_items(json, "compare")) {
        for (const auto& compare : *compares) {
            transaction.compares.push_back(
                {read_bytes(compare, "key"), read_number(compare, "mod_revision")});
        }
    }
    if (const auto* writes = read_items(json, "success")) {
        for (const auto& change : *writes) {
            read_change(change, transaction);
        }
    }
    return transaction;
}

std::optional<store::kv_operation> read_watch(const document& json) {
    const document* create = find_member(json, "create_request");
    if (create == nullptr) {
        return std::nullopt;
    }
    return store::kv_watch{read_bytes(*create, "key"), find_member(*create, "range_end") != nullptr,
                           read_number(*create, "start_revision")};
}

document make_header(std::int64_t revision) {
    return document::table{{"cluster_id", "1"},
                           {"member_id", "1"},
                           {"revision", std::to_string(revision)},
                           {"raft_term", "1"}};
}

document write_entry(const store::kv_entry& entry) {
    return document::table{{"key", encode_base64(entry.key)},
                           {"mod_revision", std::to_string(entry.mod_revision)},
                           {"value", encode_base64(entry.value)}};
}

struct answer_encoder {
    std::int64_t revision;
    bool is_keepalive;

    http_reply operator()(const store::kv_entries& range) const {
        document::array entries;
        for (const auto& entry : range.entries) {
            entries.push_back(write_entry(entry));
        }
        document::table body{{"header", make_header(range.revision)}};
        if (!entries.empty()) {
            body.push_back({"count", std::to_string(entries.size())});
            body.push_back({"kvs", std::move(entries)});
        }
        return {.body = write_json(std::move(body))};
    }

    http_reply operator()(const store::kv_transaction_done& outcome) const {
        document::table body{{"header", make_header(outcome.revision)}};
        if (outcome.succeeded) {
            body.push_back({"succeeded", true});
        }
        return {.body = write_json(std::move(body))};
    }

    http_reply operator()(const store::kv_lease& granted) const {
        document::table lease{{"header", make_header(revision)},
                              {"ID", std::to_string(granted.lease)}};
        if (granted.ttl.count() > 0) {
            lease.push_back({"TTL", std::to_string(granted.ttl.count())});
        }
        if (!is_keepalive) {
            return {.body = write_json(std::move(lease))};
        }
        return {.body = write_json(document::table{{"result", std::move(lease)}})};
    }

    http_reply operator()(const store::kv_changes& /*changes*/) const { return {.status = 500}; }

    http_reply operator()(const store::kv_failure& failure) const {
        const document::table error{{"error", failure.reason}, {"code", std::int64_t{5}}};
        return {.status = 404, .body = write_json(error)};
    }
};

document write_change(const store::kv_change& change) {
    document::table event;
    if (change.is_delete) {
        event.push_back({"type", "DELETE"});
    }
    event.push_back({"kv", write_entry(change.entry)});
    return event;
}

std::string wrap_result(document::table result) {
    return write_json(document::table{{"result", std::move(result)}});
}

} // namespace

std::optional<store::kv_operation> decode_operation(std::string_view path, std::string_view body) {
    const auto parsed = parse_json(body, "request");
    const auto* json = std::get_if<document>(&parsed);
    if (json == nullptr) {
        return std::nullopt;
    }
    if (path == "/v3/kv/range") {
        return store::kv_range{read_bytes(*json, "key"),
                               find_member(*json, "range_end") != nullptr};
    }
    if (path == "/v3/kv/put") {
        store::kv_transaction put;
        put.puts.push_back(read_put(*json));
        return put;
    }
    if (path == "/v3/kv/txn") {
        return read_transaction(*json);
    }
    if (path == "/v3/lease/grant") {
        return store::kv_lease_grant{seconds{read_number(*json, "TTL")}};
    }
    if (path == "/v3/lease/keepalive") {
        return store::kv_lease_keepalive{read_number(*json, "ID")};
    }
    if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
        return store::kv_lease_revoke{read_number(*json, "ID")};
    }
    return path == "/v3/watch" ? read_watch(*json) : std::nullopt;
}

http_reply encode_answer(const store::kv_outcome& outcome, std::int64_t revision,
                         bool is_keepalive) {
    return std::visit(answer_encoder{revision, is_keepalive}, outcome);
}

std::string encode_watch_created(std::int64_t revision) {
    return wrap_result({{"header", make_header(revision)}, {"created", true}});
}

std::string encode_watch_line(const store::kv_outcome& outcome, std::int64_t revision) {
    document::table result{{"header", make_header(revision)}};
    if (const auto* changes = std::get_if<store::kv_changes>(&outcome)) {
        document::array events;
        for (const auto& change : changes->changes) {
            events.push_back(write_change(change));
        }
        result.front().value = make_header(changes->revision);
        result.push_back({"events", std::move(events)});
        return wrap_result(std::move(result));
    }
    const auto* failure = std::get_if<store::kv_failure>(&outcome);
    result.push_back({"canceled", true});
    if (failure != nullptr && failure->kind == store::kv_failure_kind::compacted) {
        result.push_back({"compact_revision", std::to_string(revision)});
    }
    return wrap_result(std::move(result));
}

} // namespace cyclamenhatch::standin
