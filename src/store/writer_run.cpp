#include "store/writer_run.h"

#include <utility>

namespace cyclamenhatch::store {
namespace {

/// Failures in a row after which changes that were never sent are given back.
constexpr std::uint32_t failures_to_open = 3;
/// Answers that get lost now and then are no outage.
constexpr milliseconds failing_to_open{1000};
constexpr milliseconds shortest_retry{100};
constexpr std::size_t max_unknowns = 256;

/// Answers every submission of a queued change. The caller removes it from the queue.
void reply_all(writer_run& run, const queued_write& queued, const write_outcome& outcome) {
    for (std::size_t i = 0; i < queued.deadlines.size(); ++i) {
        run.actions.replies.push_back({queued.operation, outcome});
    }
}

template <class Predicate> void remove_queued(config_writer& writer, Predicate is_done) {
    auto& queue = writer.queue;
    queue.erase(std::remove_if(queue.begin(), queue.end(), is_done), queue.end());
}

write_not_run make_not_run(const writer_run& run, const std::string& reason) {
    const auto wait = std::chrono::ceil<milliseconds>(run.writer.not_before - run.now);
    return {reason, std::max(wait, shortest_retry)};
}

std::string describe_failure(const config_writer& writer) {
    return "the store is away: " + writer.last_failure;
}

void remember_unknown(config_writer& writer, const operation_id& operation,
                      const unresolved_swap& sent_on) {
    writer.unknowns.push_back({operation, sent_on});
    if (writer.unknowns.size() > max_unknowns) {
        writer.unknowns.pop_front();
    }
}

/// The head that the transaction which may carry the change compares with.
std::optional<unresolved_swap> find_sent_on(const config_writer& writer,
                                            const queued_write& queued) {
    if (!queued.unresolved && is_in_swap(writer, queued.operation)) {
        return unresolved_swap{writer.base->mod_revision, writer.base->head.version};
    }
    return queued.unresolved;
}

} // namespace

bool is_store_away(const config_writer& writer, instant now) {
    return writer.failures >= failures_to_open && now - writer.failing_since >= failing_to_open;
}

bool is_in_swap(const config_writer& writer, const operation_id& operation) {
    const auto& carried = writer.swap.operations;
    return writer.step == writer_step::swapping &&
           std::find(carried.begin(), carried.end(), operation) != carried.end();
}

std::optional<unresolved_swap> find_unknown(const config_writer& writer,
                                            const operation_id& operation) {
    for (const auto& each : writer.unknowns) {
        if (each.operation == operation) {
            return each.sent_on;
        }
    }
    return std::nullopt;
}

void give_back(writer_run& run, const operation_id& operation, const std::string& reason) {
    if (find_unknown(run.writer, operation)) {
        run.actions.replies.push_back({operation, write_unknown{}});
    } else {
        run.actions.replies.push_back({operation, make_not_run(run, reason)});
    }
}

void give_back_unsent(writer_run& run) {
    const auto reply = make_not_run(run, describe_failure(run.writer));
    remove_queued(run.writer, [&](const queued_write& each) {
        if (each.unresolved) {
            return false;
        }
        reply_all(run, each, reply);
        return true;
    });
}

void resolve_queue(writer_run& run) {
    const auto& base = *run.writer.base;
    remove_queued(run.writer, [&](queued_write& each) {
        if (const auto version = find_accepted(base, each.operation)) {
            reply_all(run, each, write_accepted{*version});
            return true;
        }
        if (!each.unresolved || base.mod_revision == each.unresolved->mod_revision) {
            return false;
        }
        if (is_absence_proven(base, *each.unresolved)) {
            each.unresolved.reset();
            return false;
        }
        remember_unknown(run.writer, each.operation, *each.unresolved);
        reply_all(run, each, write_unknown{});
        return true;
    });
}

void answer_refused(writer_run& run, std::vector<batch_refusal> refused) {
    std::vector<operation_id> gone;
    for (auto& each : refused) {
        const auto& queued = run.writer.queue[each.index];
        reply_all(run, queued, std::move(each.refused));
        gone.push_back(queued.operation);
    }
    remove_queued(run.writer, [&](const queued_write& each) {
        return std::find(gone.begin(), gone.end(), each.operation) != gone.end();
    });
}

void answer_accepted(writer_run& run) {
    remove_queued(run.writer, [&](const queued_write& each) {
        if (!is_in_swap(run.writer, each.operation)) {
            return false;
        }
        reply_all(run, each, write_accepted{run.writer.swap.version});
        return true;
    });
}

void expire(writer_run& run) {
    auto& writer = run.writer;
    for (auto& each : writer.queue) {
        const auto expired = std::partition(each.deadlines.begin(), each.deadlines.end(),
                                            [&](instant limit) { return limit > run.now; });
        if (expired == each.deadlines.end()) {
            continue;
        }
        write_outcome outcome = make_not_run(run, "the deadline passed before the change was sent");
        if (const auto sent_on = find_sent_on(writer, each)) {
            remember_unknown(writer, each.operation, *sent_on);
            outcome = write_unknown{};
        }
        for (auto limit = expired; limit != each.deadlines.end(); ++limit) {
            run.actions.replies.push_back({each.operation, outcome});
        }
        each.deadlines.erase(expired, each.deadlines.end());
    }
    remove_queued(writer, [](const queued_write& each) { return each.deadlines.empty(); });
}

} // namespace cyclamenhatch::store
