#include "store/base64.h"
#include "store/etcd_json.h"
#include "store/head_codec.h"
#include "store/write_batch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::store {
namespace {

std::string describe_outcome(const kv_outcome& outcome) {
    struct describer {
        std::string operator()(const kv_entries& read) const {
            std::string text = "entries@" + std::to_string(read.revision);
            for (const auto& entry : read.entries) {
                text +=
                    " " + entry.key + "=" + entry.value + "@" + std::to_string(entry.mod_revision);
            }
            return text;
        }
        std::string operator()(const kv_transaction_done& done) const {
            return (done.succeeded ? "done@" : "failed@") + std::to_string(done.revision);
        }
        std::string operator()(const kv_lease& lease) const {
            return "lease " + std::to_string(lease.lease) + " " + std::to_string(lease.ttl.count());
        }
        std::string operator()(const kv_changes& changes) const {
            std::string text = "changes@" + std::to_string(changes.revision);
            for (const auto& key_change : changes.changes) {
                text += (key_change.is_delete ? " -" : " +") + key_change.entry.key;
            }
            return text;
        }
        std::string operator()(const kv_failure& failure) const {
            const char* kinds[] = {"not_run", "unknown", "watch_closed", "compacted"};
            return kinds[static_cast<std::size_t>(failure.kind)];
        }
    };
    return std::visit(describer{}, outcome);
}

struct answer_row {
    const char* name;
    kv_operation operation;
    const char* body;
    const char* expected;
};

class answer_text : public testing::TestWithParam<answer_row> {};

TEST_P(answer_text, is_read) {
    EXPECT_EQ(describe_outcome(decode_answer(GetParam().operation, GetParam().body)),
              GetParam().expected);
}

const std::vector<answer_row> answers = {
    {"absent_key", kv_range{"k"}, R"({"header":{"revision":"5"}})", "entries@5"},
    {"one_key", kv_range{"k"},
     R"({"header":{"revision":"5"},"kvs":[{"key":"aw==","mod_revision":"3","value":"dg=="}],
        "count":"1"})",
     "entries@5 k=v@3"},
    {"empty_value", kv_range{"k"},
     R"({"header":{"revision":"5"},"kvs":[{"key":"aw==","mod_revision":"3"}],"count":"1"})",
     "entries@5 k=@3"},
    {"count_differs", kv_range{"k"}, R"({"header":{"revision":"5"},"count":"2"})", "unknown"},
    {"bad_base64", kv_range{"k"},
     R"({"header":{"revision":"5"},"kvs":[{"key":"a","mod_revision":"3"}],"count":"1"})",
     "unknown"},
    {"no_key_revision", kv_range{"k"},
     R"({"header":{"revision":"5"},"kvs":[{"key":"aw=="}],"count":"1"})", "unknown"},
    {"no_header", kv_range{"k"}, R"({"kvs":[]})", "unknown"},
    {"no_json", kv_range{"k"}, "<html>", "unknown"},
    {"cut_off", kv_transaction{}, R"({"header":{"revision":"5"},"succ)", "unknown"},
    {"empty", kv_transaction{}, "", "unknown"},
    {"done", kv_transaction{}, R"({"header":{"revision":"9"},"succeeded":true})", "done@9"},
    {"lost_race", kv_transaction{}, R"({"header":{"revision":"9"}})", "failed@9"},
    {"number_revision", kv_transaction{}, R"({"header":{"revision":9}})", "failed@9"},
    {"granted", kv_lease_grant{}, R"({"header":{"revision":"2"},"ID":"77","TTL":"30"})",
     "lease 77 30"},
    {"grant_without_id", kv_lease_grant{}, R"({"header":{"revision":"2"}})", "unknown"},
    {"renewed", kv_lease_keepalive{7}, R"({"result":{"header":{"revision":"2"},"TTL":"30"}})",
     "lease 7 30"},
    {"lapsed", kv_lease_keepalive{7}, R"({"result":{"header":{"revision":"2"},"ID":"7"}})",
     "lease 7 0"},
};

INSTANTIATE_TEST_SUITE_P(table, answer_text, testing::ValuesIn(answers),
                         [](const auto& row) { return std::string(row.param.name); });

struct line_row {
    const char* name;
    const char* line;
    const char* expected;
};

class watch_line : public testing::TestWithParam<line_row> {};

TEST_P(watch_line, is_read) {
    EXPECT_EQ(describe_outcome(decode_watch_line(GetParam().line)), GetParam().expected);
}

const std::vector<line_row> lines = {
    {"created", R"({"result":{"header":{"revision":"4"},"created":true}})", "changes@4"},
    {"put_and_delete",
     R"({"result":{"header":{"revision":"6"},"events":[
        {"kv":{"key":"aw==","mod_revision":"5","value":"dg=="}},
        {"type":"DELETE","kv":{"key":"bA==","mod_revision":"6"}}]}})",
     "changes@6 +k -l"},
    {"compacted",
     R"({"result":{"header":{"revision":"6"},"canceled":true,"compact_revision":"5"}})",
     "compacted"},
    {"cancelled", R"({"result":{"header":{"revision":"6"},"canceled":true}})", "watch_closed"},
    {"error", R"({"error":{"grpc_code":14,"message":"unavailable"}})", "watch_closed"},
    {"event_without_pair", R"({"result":{"header":{"revision":"6"},"events":[{}]}})",
     "watch_closed"},
    {"no_json", "garbage", "watch_closed"},
};

INSTANTIATE_TEST_SUITE_P(table, watch_line, testing::ValuesIn(lines),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(etcd_json, writes_a_swap_as_one_transaction) {
    kv_transaction swap;
    swap.compares = {{"h", 3}};
    swap.puts = {{"k", "v", 7}};
    swap.deletes = {"d"};
    const auto call = encode_call(swap);
    EXPECT_EQ(call.path, "/v3/kv/txn");
    EXPECT_EQ(call.body,
              R"({"compare":[{"key":"aA==","target":"MOD","result":"EQUAL","mod_revision":"3"}],)"
              R"("success":[{"request_put":{"key":"aw==","value":"dg==","lease":"7"}},)"
              R"({"request_delete_range":{"key":"ZA=="}}]})");
}

RC_GTEST_PROP(etcd_json, reads_or_fails_on_any_text, (const std::string& text)) {
    RC_ASSERT(decode_answer(kv_range{"k"}, text).index() < 5U);
    RC_ASSERT(std::holds_alternative<kv_failure>(decode_watch_line(text)));
}

RC_GTEST_PROP(base64, decodes_what_it_encoded, (const std::string& bytes)) {
    RC_ASSERT(decode_base64(encode_base64(bytes)) == bytes);
}

TEST(base64, refuses_what_is_not_padded_base64) {
    for (const auto* text : {"a", "ab=c", "====", "a b=", "ab-_", "abc"}) {
        EXPECT_FALSE(decode_base64(text)) << text;
    }
}

TEST(etcd_json, ends_a_prefix_behind_its_last_key) {
    EXPECT_EQ(find_prefix_end("/a/"), "/a0");
    EXPECT_EQ(find_prefix_end("a\xff"), "b");
}

RC_GTEST_PROP(head_codec, reads_or_refuses_any_bytes, (const std::string& bytes)) {
    RC_ASSERT(decode_head(bytes).index() < 2U);
}

TEST(head_codec, decodes_what_it_encoded_and_refuses_truncated_bytes) {
    stored_head head;
    head.version = config_version{7};
    head.entries = {{service_id{"a"}, digest_id{"1"}}, {service_id{"b"}, digest_id{"2"}}};
    head.operations = {operation_id{"op"}};
    head.recent = {{operation_id{"before"}, config_version{6}},
                   {operation_id{"op"}, config_version{7}}};
    const auto bytes = encode_head(head);
    const auto read = decode_head(bytes);
    ASSERT_TRUE(std::holds_alternative<stored_head>(read));
    EXPECT_EQ(std::get<stored_head>(read), head);
    EXPECT_TRUE(std::holds_alternative<findings>(decode_head(bytes.substr(0, bytes.size() / 2))));
}

/// The absence of an operation proves nothing when the head no longer lists operations that old.
TEST(write_batch, proves_absence_only_as_far_back_as_the_head_lists) {
    writer_base base;
    base.mod_revision = 20;
    base.head.version = config_version{9};
    const unresolved_swap sent{.mod_revision = 10, .version = config_version{5}};
    EXPECT_TRUE(is_absence_proven(base, sent));
    base.head.recent.assign(remembered_operations, {operation_id{"other"}, config_version{6}});
    EXPECT_FALSE(is_absence_proven(base, sent));
    base.head.recent.front().version = config_version{5};
    EXPECT_TRUE(is_absence_proven(base, sent));
    base.head.version = config_version{5};
    EXPECT_FALSE(is_absence_proven(base, sent)) << "a restored backup proves nothing";
    base.mod_revision = 10;
    EXPECT_FALSE(is_absence_proven(base, sent)) << "the head has not moved";
}

} // namespace
} // namespace cyclamenhatch::store
