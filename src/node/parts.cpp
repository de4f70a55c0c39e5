#include "node/parts.h"

#include "clock/process_clock.h"
#include "node/log_writer.h"
#include "node/quarantine_document.h"
#include "node/state_document.h"

namespace cyclamenhatch::node {

wire::link_events make_link_events(const runtime_ptr& node) {
    return {.on_message = [node](incoming message) { dispatch(*node, std::move(message)); },
            .on_link_lost = [node](const node_id& peer) { edge::on_link_lost(*node->calls, peer); },
            .on_undelivered =
                [node](const outgoing& message) { edge::on_undelivered(*node->calls, message); },
            .on_log = [](const log_event& event) { write_log(event); }};
}

edge::call_path_callbacks make_call_path_callbacks(const runtime_ptr& node) {
    return {.send = [node](outgoing message) { wire::send(*node->links, std::move(message)); },
            .view = [node] { return current_view(*node); },
            .record_samples =
                [node](std::vector<call::call_sample> samples) {
                    record_samples(*node, std::move(samples));
                },
            .log = [](const log_event& event) { write_log(event); },
            .on_upstream_leaving =
                [node](const std::string& instance) { announce_draining(*node, instance); },
            .on_upstream_crash =
                [node](const call::upstream_crash& crash) { record_crash(*node, crash); },
            .ask_own_keeper =
                [node](msg::allowance_request_msg request) {
                    dispatch(*node, {node->control.allowances.self, std::move(request)});
                },
            .on_suspect_ran_well =
                [node](const request_digest& digest) { record_good_run(*node, digest); }};
}

admin::backend make_backend(const runtime_ptr& node) {
    admin::backend backend;
    backend.configuration = [node] { return current_view(*node)->config; };
    backend.write = [node](store::write_request request, write_callback callback) {
        write(*node, std::move(request), std::move(callback));
    };
    backend.progress = [node] {
        const std::lock_guard<std::mutex> guard(node->control_lock);
        return node->control.distribution.progress;
    };
    backend.move_statuses = [node] {
        const std::lock_guard<std::mutex> guard(node->control_lock);
        return moves::list_status(node->control.moves, current_time());
    };
    backend.status = [node] { return describe_fleet(*node); };
    backend.dump = [node] { return dump_state(*node); };
    backend.usage = [node] { return edge::owner_usage(*node->calls); };
    backend.quarantine = [node] {
        const std::lock_guard<std::mutex> guard(node->control_lock);
        return describe_quarantine(node->control.quarantine, current_time());
    };
    backend.lift_hold = [node](const request_digest& digest) { return lift_hold(*node, digest); };
    backend.metrics = [node] { return metrics_text(*node); };
    backend.announce = [node](const admin::announcement& announcement) {
        return announce(*node, announcement);
    };
    backend.when_confirmable = [node](std::function<void(bool)> done) {
        when_confirmable(*node, std::move(done));
    };
    backend.is_ready = [node] {
        const std::lock_guard<std::mutex> guard(node->control_lock);
        return control::is_ready(node->control);
    };
    backend.now = current_time;
    return backend;
}

} // namespace cyclamenhatch::node
