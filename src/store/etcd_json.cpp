#include "store/etcd_json.h"

#include "document/document.h"
#include "store/base64.h"

#include <charconv>
#include <optional>
#include <utility>

namespace cyclamenhatch::store {
namespace {

document table(document::table members) {
    return {std::move(members)};
}

/// The gateway writes 64-bit numbers as strings.
document number_text(std::int64_t number) {
    return {std::to_string(number)};
}

void add_range(document::table& members, const std::string& key, bool is_prefix) {
    members.push_back({"key", encode_base64(key)});
    if (is_prefix) {
        members.push_back({"range_end", encode_base64(find_prefix_end(key))});
    }
}

document encode_compare(const kv_compare& compare) {
    return table({{"key", encode_base64(compare.key)},
                  {"target", "MOD"},
                  {"result", "EQUAL"},
                  {"mod_revision", number_text(compare.mod_revision)}});
}

document encode_put(const kv_put& put) {
    document::table members{{"key", encode_base64(put.key)}, {"value", encode_base64(put.value)}};
    if (put.lease != 0) {
        members.push_back({"lease", number_text(put.lease)});
    }
    return table({{"request_put", table(std::move(members))}});
}

document encode_delete(const std::string& key) {
    return table({{"request_delete_range", table({{"key", encode_base64(key)}})}});
}

struct call_encoder {
    etcd_call operator()(const kv_range& range) const {
        document::table body;
        add_range(body, range.key, range.is_prefix);
        if (range.may_be_stale) {
            body.push_back({"serializable", true});
        }
        return {"/v3/kv/range", write_json(table(std::move(body)))};
    }

    etcd_call operator()(const kv_transaction& transaction) const {
        document::array compares;
        for (const auto& compare : transaction.compares) {
            compares.push_back(encode_compare(compare));
        }
        document::array writes;
        for (const auto& put : transaction.puts) {
            writes.push_back(encode_put(put));
        }
        for (const auto& key : transaction.deletes) {
            writes.push_back(encode_delete(key));
        }
        return {"/v3/kv/txn", write_json(table({{"compare", std::move(compares)},
                                                {"success", std::move(writes)}}))};
    }

    etcd_call operator()(const kv_lease_grant& grant) const {
        return {"/v3/lease/grant", write_json(table({{"TTL", number_text(grant.ttl.count())}}))};
    }

    etcd_call operator()(const kv_lease_keepalive& keepalive) const {
        return {"/v3/lease/keepalive", write_json(table({{"ID", number_text(keepalive.lease)}}))};
    }

    etcd_call operator()(const kv_lease_revoke& revoke) const {
        return {"/v3/lease/revoke", write_json(table({{"ID", number_text(revoke.lease)}}))};
    }

    etcd_call operator()(const kv_watch& watch) const {
        document::table create;
        add_range(create, watch.key, watch.is_prefix);
        if (watch.from_revision != 0) {
            create.push_back({"start_revision", number_text(watch.from_revision)});
        }
        return {"/v3/watch", write_json(table({{"create_request", table(std::move(create))}}))};
    }

    etcd_call operator()(const kv_watch_cancel& /*cancel*/) const { return {}; }
};

kv_failure make_unreadable_failure(const std::string& problem) {
    return {kv_failure_kind::unknown, "unreadable answer: " + problem};
}

/// A 64-bit number, which may be written as a string; 0 when it is absent or malformed.
std::int64_t read_number(const document& object, std::string_view key) {
    const document* member = find_member(object, key);
    if (member == nullptr) {
        return 0;
    }
    if (const auto* number = std::get_if<std::int64_t>(&member->value)) {
        return *number;
    }
    std::int64_t number = 0;
    if (const auto* text = std::get_if<std::string>(&member->value)) {
        std::from_chars(text->data(), text->data() + text->size(), number);
    }
    return number;
}

/// Revision of the answer's header; 0 when there is none.
std::int64_t read_revision(const document& object) {
    const document* header = find_member(object, "header");
    return header == nullptr ? 0 : read_number(*header, "revision");
}

std::optional<kv_entry> read_entry(const document& object) {
    auto key = decode_base64(text_or(object, "key", ""));
    auto value = decode_base64(text_or(object, "value", ""));
    const auto revision = read_number(object, "mod_revision");
    if (!key || key->empty() || !value || revision <= 0) {
        return std::nullopt;
    }
    return kv_entry{std::move(*key), std::move(*value), revision};
}

/// The items of an array member; none when it is absent.
const document::array& read_items(const document& object, std::string_view key) {
    static const document::array none;
    const document* member = find_member(object, key);
    const auto* items = member == nullptr ? nullptr : std::get_if<document::array>(&member->value);
    return items == nullptr ? none : *items;
}

kv_outcome read_range(const document& answer) {
    kv_entries read{read_revision(answer), {}};
    for (const auto& item : read_items(answer, "kvs")) {
        auto entry = read_entry(item);
        if (!entry) {
            return make_unreadable_failure("a key-value pair is malformed");
        }
        read.entries.push_back(std::move(*entry));
    }
    if (read_number(answer, "count") != static_cast<std::int64_t>(read.entries.size())) {
        return make_unreadable_failure("count and key-value pairs differ");
    }
    return read;
}

struct answer_decoder {
    const document& answer;

    kv_outcome operator()(const kv_range& /*request*/) const { return read_range(answer); }

    kv_outcome operator()(const kv_transaction& /*request*/) const {
        return kv_transaction_done{read_revision(answer), flag_or(answer, "succeeded", false)};
    }

    kv_outcome operator()(const kv_lease_grant& /*request*/) const {
        const auto lease = read_number(answer, "ID");
        if (lease == 0) {
            return make_unreadable_failure("a granted lease has no id");
        }
        return kv_lease{lease, seconds{read_number(answer, "TTL")}};
    }

    kv_outcome operator()(const kv_lease_keepalive& keepalive) const {
        return kv_lease{keepalive.lease, seconds{read_number(answer, "TTL")}};
    }

    kv_outcome operator()(const kv_lease_revoke& revoke) const {
        return kv_lease{revoke.lease, seconds{0}};
    }

    kv_outcome operator()(const kv_watch& /*request*/) const {
        return make_unreadable_failure("watch");
    }
    kv_outcome operator()(const kv_watch_cancel& /*request*/) const {
        return make_unreadable_failure("cancel");
    }
};

kv_outcome read_watch_result(const document& result) {
    if (read_number(result, "compact_revision") != 0) {
        return kv_failure{kv_failure_kind::compacted, "the first revision is compacted"};
    }
    if (flag_or(result, "canceled", false)) {
        return kv_failure{kv_failure_kind::watch_closed,
                          "cancelled by the service: " + text_or(result, "cancel_reason", "")};
    }
    kv_changes changes{read_revision(result), {}};
    for (const auto& event : read_items(result, "events")) {
        const document* pair = find_member(event, "kv");
        auto entry = pair == nullptr ? std::nullopt : read_entry(*pair);
        if (!entry) {
            return kv_failure{kv_failure_kind::watch_closed, "an event is malformed"};
        }
        changes.changes.push_back({std::move(*entry), text_or(event, "type", "PUT") == "DELETE"});
    }
    return changes;
}

} // namespace

etcd_call encode_call(const kv_operation& operation) {
    return std::visit(call_encoder{}, operation);
}

kv_outcome decode_answer(const kv_operation& operation, std::string_view body) {
    const auto parsed = parse_json(body, "answer");
    if (const auto* problems = std::get_if<findings>(&parsed)) {
        return make_unreadable_failure(to_string(problems->front()));
    }
    const auto& answer = std::get<document>(parsed);
    // A streaming call wraps its answer.
    const document* wrapped = find_member(answer, "result");
    const document& content = wrapped == nullptr ? answer : *wrapped;
    if (read_revision(content) == 0) {
        return make_unreadable_failure("no revision in its header");
    }
    return std::visit(answer_decoder{content}, operation);
}

kv_outcome decode_watch_line(std::string_view line) {
    const auto parsed = parse_json(line, "watch");
    const auto* answer = std::get_if<document>(&parsed);
    const document* result = answer == nullptr ? nullptr : find_member(*answer, "result");
    if (result == nullptr || read_revision(*result) == 0) {
        return kv_failure{kv_failure_kind::watch_closed, "unreadable line"};
    }
    return read_watch_result(*result);
}

std::string find_prefix_end(std::string prefix) {
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xFFU) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');
    }
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1U);
    return prefix;
}

} // namespace cyclamenhatch::store
