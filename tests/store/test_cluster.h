#pragma once

#include "store/config_writer.h"
#include "store/contacts.h"
#include "store/head_codec.h"
#include "store/head_reader.h"
#include "support/fake_store.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

/// Nodes that use one in-memory store, in virtual time.
namespace cyclamenhatch::store {

inline const std::string test_prefix = "/test/";

struct test_node {
    std::string name;
    config_writer writer;
    head_reader reader;
    contact_keeper keeper;
    bool has_contact_duty = false;
    bool needs_contacts = false;
    std::vector<write_reply> replies;
    std::vector<snapshot_ptr> snapshots;
    std::vector<config_version> rejected_versions;
    std::vector<peer_address> contacts;
    std::vector<std::string> lines;
    /// How often a read showed that the local configuration is current.
    int current_reports = 0;
};

struct test_cluster {
    fakes::fake_store store;
    instant now = from_unix_ms(1'800'000'000'000);
    random_source random{20261204};
    std::vector<test_node> nodes;
};

inline test_node make_test_node(const std::string& name, instant now) {
    test_node node;
    node.name = name;
    node.writer = make_config_writer({.prefix = test_prefix}, now);
    node.reader = make_head_reader(test_prefix, 5, now);
    node.keeper = make_contact_keeper(test_prefix, name, {"10.0.0.1", 7400}, 30, now);
    return node;
}

inline test_cluster make_cluster(std::size_t nodes) {
    test_cluster cluster;
    for (std::size_t i = 0; i < nodes; ++i) {
        cluster.nodes.push_back(make_test_node("n" + std::to_string(i), cluster.now));
    }
    return cluster;
}

inline void carry_out(test_cluster& cluster, test_node& node, writer_actions actions) {
    for (const auto& request : actions.requests) {
        fakes::send(cluster.store, node.name, request, cluster.now);
    }
    std::move(actions.replies.begin(), actions.replies.end(), std::back_inserter(node.replies));
}

inline void carry_out(test_cluster& cluster, test_node& node, reader_actions actions) {
    for (const auto& request : actions.requests) {
        fakes::send(cluster.store, node.name, request, cluster.now);
    }
    if (actions.snapshot) {
        node.snapshots.push_back(actions.snapshot);
        set_local_snapshot(node.reader, actions.snapshot);
        update_local_snapshot(node.writer, actions.snapshot);
    }
    if (!actions.rejection_reasons.empty()) {
        node.rejected_versions.push_back(actions.rejected_version);
    }
    node.current_reports += actions.is_current ? 1 : 0;
}

inline void carry_out(test_cluster& cluster, test_node& node, contact_actions actions) {
    for (const auto& request : actions.requests) {
        fakes::send(cluster.store, node.name, request, cluster.now);
    }
    std::move(actions.contacts.begin(), actions.contacts.end(), std::back_inserter(node.contacts));
    for (const auto& event : actions.logs) {
        node.lines.push_back(to_line(event));
    }
}

inline void deliver(test_cluster& cluster, test_node& node, const kv_response& response) {
    writer_actions written;
    reader_actions read;
    contact_actions contact;
    const bool is_taken =
        on_response(node.writer, response, cluster.now, cluster.random, written) ||
        on_response(node.reader, response, cluster.now, cluster.random, read) ||
        on_response(node.keeper, response, cluster.now, cluster.random, contact);
    if (is_taken) {
        carry_out(cluster, node, std::move(written));
        carry_out(cluster, node, std::move(read));
        carry_out(cluster, node, std::move(contact));
    }
}

inline void tick(test_cluster& cluster, test_node& node) {
    writer_actions written;
    on_tick(node.writer, cluster.now, cluster.random, written);
    carry_out(cluster, node, std::move(written));
    reader_actions read;
    on_tick(node.reader, cluster.now, cluster.random, read);
    carry_out(cluster, node, std::move(read));
    contact_actions contact;
    on_tick(node.keeper, node.has_contact_duty, node.needs_contacts, cluster.now, cluster.random,
            contact);
    carry_out(cluster, node, std::move(contact));
}

/// Advances the time: delivers answers every millisecond and ticks every 100 ms.
inline void run(test_cluster& cluster, milliseconds time) {
    const instant end = cluster.now + time;
    while (cluster.now < end) {
        cluster.now += milliseconds{1};
        for (const auto& delivery : fakes::advance(cluster.store, cluster.now)) {
            for (auto& node : cluster.nodes) {
                if (node.name == delivery.client) {
                    deliver(cluster, node, delivery.response);
                }
            }
        }
        if (to_unix_ms(cluster.now) % 100 == 0) {
            for (auto& node : cluster.nodes) {
                tick(cluster, node);
            }
        }
    }
}

inline void submit(test_cluster& cluster, std::size_t node, const std::string& operation,
                   change requested, milliseconds limit = milliseconds{5000}) {
    writer_actions actions;
    submit(cluster.nodes[node].writer,
           {operation_id{operation}, std::move(requested), cluster.now + limit}, cluster.now,
           cluster.random, actions);
    carry_out(cluster, cluster.nodes[node], std::move(actions));
}

inline resource_write make_service_write(const std::string& name) {
    resource_write write;
    write.services.push_back(
        {.name = service_id{name}, .owner = owner_id{"shops"}, .version = version_id{"v1"}});
    write.versions.push_back({.name = version_id{"v1"}, .service = service_id{name}});
    return write;
}

/// Adds an upstream version that must be absent, so that a second run would be refused.
inline resource_write make_version_write(const std::string& service, const std::string& name) {
    resource_write write;
    write.versions.push_back({.name = version_id{name}, .service = service_id{service}});
    write.preconditions.push_back(
        {{resource_kind::upstream_version, service_id{service}, name}, std::nullopt});
    return write;
}

/// "accepted", "invalid", "conflict", "not_run", "unknown", or "none".
inline std::string outcome_of(const test_node& node, const std::string& operation) {
    for (const auto& reply : node.replies) {
        if (reply.operation.value != operation) {
            continue;
        }
        if (const auto* refused = std::get_if<change_refused>(&reply.outcome)) {
            return refused->kind == refusal_kind::invalid ? "invalid" : "conflict";
        }
        if (std::holds_alternative<write_not_run>(reply.outcome)) {
            return "not_run";
        }
        return std::holds_alternative<write_accepted>(reply.outcome) ? "accepted" : "unknown";
    }
    return "none";
}

/// Every head that the store ever held, oldest first.
inline std::vector<stored_head> list_heads(const fakes::fake_store& store) {
    std::vector<stored_head> heads;
    for (const auto& store_change : store.history) {
        if (store_change.entry.key == head_key(test_prefix) && !store_change.is_delete) {
            heads.push_back(std::get<stored_head>(decode_head(store_change.entry.value)));
        }
    }
    return heads;
}

/// How many heads carried the operation.
inline std::ptrdiff_t count_runs(const fakes::fake_store& store, const std::string& operation) {
    std::ptrdiff_t runs = 0;
    for (const auto& head : list_heads(store)) {
        runs += std::count(head.operations.begin(), head.operations.end(), operation_id{operation});
    }
    return runs;
}

} // namespace cyclamenhatch::store
