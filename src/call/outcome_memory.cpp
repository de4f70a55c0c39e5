#include "call/outcome_memory.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

/// Calls are forgotten in batches of this length of time.
constexpr microseconds batch_time{100'000};
std::size_t size_of(const msg::call_answer_msg& answer) {
    std::size_t bytes = answer.body.size();
    for (const auto& header : answer.headers) {
        bytes += header->name.size() + header->value.size();
    }
    return bytes;
}

void drop_answer(outcome_memory& memory, remembered_call& entry) {
    memory.answer_bytes -= entry.bytes;
    entry.bytes = 0;
    entry.answer.reset();
}

bool is_ended(const remembered_call& call) {
    return call.state != memory_state::queued && call.state != memory_state::running;
}

void forget_at(outcome_memory& memory, const call_id& call, instant when) {
    const auto batches = when.time_since_epoch() / batch_time + 1;
    memory.due[instant(batches * batch_time)].push_back(call);
}

void forget(outcome_memory& memory, const call_id& call, instant now) {
    const auto it = memory.calls.find(call);
    if (it == memory.calls.end() || !is_ended(it->second)) {
        return;
    }
    if (it->second.keep_until > now) {
        memory.uncertain_until = std::max(memory.uncertain_until, it->second.keep_until);
    }
    memory.tombstones -= it->second.state == memory_state::tombstone ? 1 : 0;
    drop_answer(memory, it->second);
    memory.calls.erase(it);
}

void drop_oldest_answer(outcome_memory& memory) {
    const auto oldest = memory.kept_answers.front();
    memory.kept_answers.pop_front();
    const auto it = memory.calls.find(oldest.call);
    if (it != memory.calls.end() && it->second.answer) {
        drop_answer(memory, it->second);
        ++memory.dropped_answers;
    }
}

/// Forgets a batch early except for its tombstones, which have their own bound. Returns the next
/// batch.
std::map<instant, std::vector<call_id>>::iterator
forget_early(outcome_memory& memory, std::map<instant, std::vector<call_id>>::iterator batch,
             instant now) {
    std::erase_if(batch->second, [&](const call_id& call) {
        const auto it = memory.calls.find(call);
        if (it != memory.calls.end() && it->second.state == memory_state::tombstone) {
            return false;
        }
        forget(memory, call, now);
        return true;
    });
    return batch->second.empty() ? memory.due.erase(batch) : std::next(batch);
}

} // namespace

void remember_answer(outcome_memory& memory, const call_id& call, stored_answer answer,
                     const memory_bounds& bounds, instant now) {
    auto& entry = memory.calls[call];
    entry.state = memory_state::answered;
    entry.answer = std::move(answer);
    if (entry.answer) {
        entry.bytes = size_of(*entry.answer);
        memory.answer_bytes += entry.bytes;
        memory.kept_answers.push_back({call, now + bounds.keep_answers});
    }
    forget_at(memory, call, std::max(entry.keep_until, now + bounds.keep_answers));
    trim(memory, bounds, now);
}

void remember_refusal(outcome_memory& memory, const call_id& call, stored_refusal refused,
                      const memory_bounds& bounds, instant now) {
    auto& entry = memory.calls[call];
    entry.state = memory_state::refused;
    entry.refused = std::move(refused);
    forget_at(memory, call, std::max(entry.keep_until, now + bounds.keep_answers));
    trim(memory, bounds, now);
}

bool place_tombstone(outcome_memory& memory, const call_id& call, const memory_bounds& bounds,
                     instant now) {
    if (memory.tombstones >= bounds.max_tombstones) {
        return false;
    }
    auto& entry = memory.calls[call];
    entry.state = memory_state::tombstone;
    entry.keep_until = now + tombstone_time;
    ++memory.tombstones;
    forget_at(memory, call, entry.keep_until);
    return true;
}

void trim(outcome_memory& memory, const memory_bounds& bounds, instant now) {
    while (!memory.kept_answers.empty() && (memory.answer_bytes > bounds.max_answer_bytes ||
                                            memory.kept_answers.front().drop_at <= now)) {
        drop_oldest_answer(memory);
    }
    while (!memory.due.empty() && memory.due.begin()->first <= now) {
        for (const auto& call : memory.due.begin()->second) {
            forget(memory, call, now);
        }
        memory.due.erase(memory.due.begin());
    }
    for (auto batch = memory.due.begin();
         batch != memory.due.end() && memory.calls.size() > bounds.max_calls;) {
        batch = forget_early(memory, batch, now);
    }
}

} // namespace cyclamenhatch::call
