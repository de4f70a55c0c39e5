#include "store/writer_replies.h"

#include <utility>

namespace cyclamenhatch::store {
namespace {

/// Consecutive failures after which unsent changes are answered with not run.
constexpr std::uint32_t min_outage_failures = 3;
/// Failures must last this long as well: answers that are lost now and then are no outage.
constexpr milliseconds min_outage_duration{1000};
constexpr milliseconds shortest_retry{100};
constexpr std::size_t max_unknown_operations = 256;

/// Answers every submission of a queued change. The caller removes it from the queue.
void reply_all(writer_context& context, const queued_write& queued, const write_outcome& outcome) {
    for (std::size_t i = 0; i < queued.deadlines.size(); ++i) {
        context.actions.replies.push_back({queued.operation, outcome});
    }
}

template <class Predicate> void remove_queued(config_writer& writer, Predicate is_done) {
    auto& queue = writer.queue;
    queue.erase(std::remove_if(queue.begin(), queue.end(), is_done), queue.end());
}

write_not_run make_not_run(const writer_context& context, const std::string& reason) {
    const auto wait = std::chrono::ceil<milliseconds>(context.writer.not_before - context.now);
    return {reason, std::max(wait, shortest_retry)};
}

std::string describe_failure(const config_writer& writer) {
    return "the store is unavailable: " + writer.last_failure;
}

void remember_unknown(config_writer& writer, const operation_id& operation,
                      const unresolved_swap& swap) {
    writer.unknown_operations.push_back({operation, swap});
    if (writer.unknown_operations.size() > max_unknown_operations) {
        writer.unknown_operations.pop_front();
    }
}

/// The head that the transaction which may carry the change compares with.
std::optional<unresolved_swap> find_possible_swap(const config_writer& writer,
                                                  const queued_write& queued) {
    if (!queued.unresolved && is_in_swap(writer, queued.operation)) {
        return unresolved_swap{writer.base->mod_revision, writer.base->head.version};
    }
    return queued.unresolved;
}

} // namespace

bool is_store_unavailable(const config_writer& writer, instant now) {
    return writer.failures >= min_outage_failures &&
           now - writer.failing_since >= min_outage_duration;
}

bool is_in_swap(const config_writer& writer, const operation_id& operation) {
    const auto& carried = writer.swap.operations;
    return writer.step == writer_step::swapping &&
           std::find(carried.begin(), carried.end(), operation) != carried.end();
}

std::optional<unresolved_swap> find_unknown_swap(const config_writer& writer,
                                                 const operation_id& operation) {
    for (const auto& unknown : writer.unknown_operations) {
        if (unknown.operation == operation) {
            return unknown.swap;
        }
    }
    return std::nullopt;
}

void reply_not_run(writer_context& context, const operation_id& operation,
                   const std::string& reason) {
    if (find_unknown_swap(context.writer, operation)) {
        context.actions.replies.push_back({operation, write_unknown{}});
    } else {
        context.actions.replies.push_back({operation, make_not_run(context, reason)});
    }
}

void drop_unsent_writes(writer_context& context) {
    const auto reply = make_not_run(context, describe_failure(context.writer));
    remove_queued(context.writer, [&](const queued_write& queued) {
        if (queued.unresolved) {
            return false;
        }
        reply_all(context, queued, reply);
        return true;
    });
}

void resolve_queue(writer_context& context) {
    const auto& base = *context.writer.base;
    remove_queued(context.writer, [&](queued_write& queued) {
        if (const auto version = find_accepted(base, queued.operation)) {
            reply_all(context, queued, write_accepted{*version});
            return true;
        }
        if (!queued.unresolved || base.mod_revision == queued.unresolved->mod_revision) {
            return false;
        }
        if (is_absence_proven(base, *queued.unresolved)) {
            queued.unresolved.reset();
            return false;
        }
        remember_unknown(context.writer, queued.operation, *queued.unresolved);
        reply_all(context, queued, write_unknown{});
        return true;
    });
}

void answer_refused(writer_context& context, std::vector<batch_refusal> refused) {
    std::vector<operation_id> answered;
    for (auto& refusal : refused) {
        const auto& queued = context.writer.queue[refusal.index];
        reply_all(context, queued, std::move(refusal.refusal));
        answered.push_back(queued.operation);
    }
    remove_queued(context.writer, [&](const queued_write& queued) {
        return std::find(answered.begin(), answered.end(), queued.operation) != answered.end();
    });
}

void answer_accepted(writer_context& context) {
    remove_queued(context.writer, [&](const queued_write& queued) {
        if (!is_in_swap(context.writer, queued.operation)) {
            return false;
        }
        reply_all(context, queued, write_accepted{context.writer.swap.version});
        return true;
    });
}

void expire(writer_context& context) {
    auto& writer = context.writer;
    for (auto& queued : writer.queue) {
        const auto expired =
            std::partition(queued.deadlines.begin(), queued.deadlines.end(),
                           [&](instant deadline) { return deadline > context.now; });
        if (expired == queued.deadlines.end()) {
            continue;
        }
        write_outcome outcome =
            make_not_run(context, "the deadline passed before the change was sent");
        if (const auto swap = find_possible_swap(writer, queued)) {
            remember_unknown(writer, queued.operation, *swap);
            outcome = write_unknown{};
        }
        for (auto deadline = expired; deadline != queued.deadlines.end(); ++deadline) {
            context.actions.replies.push_back({queued.operation, outcome});
        }
        queued.deadlines.erase(expired, queued.deadlines.end());
    }
    remove_queued(writer, [](const queued_write& queued) { return queued.deadlines.empty(); });
}

} // namespace cyclamenhatch::store
