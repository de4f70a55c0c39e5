#include "etcd_server_json.h"

#include "document/document.h"
#include "store/base64.h"

#include <charconv>
#include <utility>

namespace cyclamenhatch::standin {
namespace {

using store::decode_base64;
using store::encode_base64;

std::string read_bytes(const document& from, std::string_view key) {
    return decode_base64(text_or(from, key, "")).value_or("");
}

std::int64_t read_number(const document& from, std::string_view key) {
    const auto text = text_or(from, key, "");
    if (text.empty()) {
        return number_or(from, key, 0);
    }
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

const document::array* read_items(const document& from, std::string_view key) {
    const document* member = find_member(from, key);
    return member == nullptr ? nullptr : std::get_if<document::array>(&member->value);
}

store::kv_put read_put(const document& from) {
    return {read_bytes(from, "key"), read_bytes(from, "value"), read_number(from, "lease")};
}

void read_write(const document& from, store::kv_transaction& to) {
    if (const document* put = find_member(from, "request_put")) {
        to.puts.push_back(read_put(*put));
    } else if (const document* removal = find_member(from, "request_delete_range")) {
        to.deletes.push_back(read_bytes(*removal, "key"));
    }
}

store::kv_transaction read_transaction(const document& from) {
    store::kv_transaction to;
    if (const auto* compares = read_items(from, "compare")) {
        for (const auto& each : *compares) {
            to.compares.push_back({read_bytes(each, "key"), read_number(each, "mod_revision")});
        }
    }
    if (const auto* writes = read_items(from, "success")) {
        for (const auto& each : *writes) {
            read_write(each, to);
        }
    }
    return to;
}

std::optional<store::kv_operation> read_watch(const document& from) {
    const document* create = find_member(from, "create_request");
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

document write_entry(const store::kv_entry& from) {
    return document::table{{"key", encode_base64(from.key)},
                           {"mod_revision", std::to_string(from.mod_revision)},
                           {"value", encode_base64(from.value)}};
}

struct answer_encoder {
    std::int64_t revision;
    bool is_keepalive;

    http_reply operator()(const store::kv_entries& from) const {
        document::array entries;
        for (const auto& each : from.entries) {
            entries.push_back(write_entry(each));
        }
        document::table body{{"header", make_header(from.revision)}};
        if (!entries.empty()) {
            body.push_back({"count", std::to_string(entries.size())});
            body.push_back({"kvs", std::move(entries)});
        }
        return {.body = write_json(std::move(body))};
    }

    http_reply operator()(const store::kv_transaction_done& from) const {
        document::table body{{"header", make_header(from.revision)}};
        if (from.succeeded) {
            body.push_back({"succeeded", true});
        }
        return {.body = write_json(std::move(body))};
    }

    http_reply operator()(const store::kv_lease& from) const {
        document::table lease{{"header", make_header(revision)},
                              {"ID", std::to_string(from.lease)}};
        if (from.ttl.count() > 0) {
            lease.push_back({"TTL", std::to_string(from.ttl.count())});
        }
        if (!is_keepalive) {
            return {.body = write_json(std::move(lease))};
        }
        return {.body = write_json(document::table{{"result", std::move(lease)}})};
    }

    http_reply operator()(const store::kv_changes& /*from*/) const { return {.status = 500}; }

    http_reply operator()(const store::kv_failure& from) const {
        const document::table error{{"error", from.reason}, {"code", std::int64_t{5}}};
        return {.status = 404, .body = write_json(error)};
    }
};

document write_change(const store::kv_change& from) {
    document::table event;
    if (from.is_delete) {
        event.push_back({"type", "DELETE"});
    }
    event.push_back({"kv", write_entry(from.entry)});
    return event;
}

std::string wrap_result(document::table result) {
    return write_json(document::table{{"result", std::move(result)}});
}

} // namespace

std::optional<store::kv_operation> decode_call(std::string_view path, std::string_view body) {
    const auto parsed = parse_json(body, "request");
    const auto* from = std::get_if<document>(&parsed);
    if (from == nullptr) {
        return std::nullopt;
    }
    if (path == "/v3/kv/range") {
        return store::kv_range{read_bytes(*from, "key"),
                               find_member(*from, "range_end") != nullptr};
    }
    if (path == "/v3/kv/put") {
        store::kv_transaction put;
        put.puts.push_back(read_put(*from));
        return put;
    }
    if (path == "/v3/kv/txn") {
        return read_transaction(*from);
    }
    if (path == "/v3/lease/grant") {
        return store::kv_lease_grant{seconds{read_number(*from, "TTL")}};
    }
    if (path == "/v3/lease/keepalive") {
        return store::kv_lease_keepalive{read_number(*from, "ID")};
    }
    if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
        return store::kv_lease_revoke{read_number(*from, "ID")};
    }
    return path == "/v3/watch" ? read_watch(*from) : std::nullopt;
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
        for (const auto& each : changes->changes) {
            events.push_back(write_change(each));
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
