#include "call/body_stream.h"
#include "call/entry_call.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <malloc.h>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenhatch::call {
namespace {

using bytes = std::vector<std::uint8_t>;

/// A body sent between two nodes over links that lose, repeat and reorder messages.
struct body_world {
    outgoing_body sender;
    incoming_body receiver;
    bytes source;
    bytes received;
    std::uint64_t passed_on = 0;
    std::deque<sent_piece> pieces;
    struct note {
        std::uint64_t taken = 0;
        bool is_whole = false;
    };
    std::deque<note> notes;

    void send(std::size_t limit) {
        if (!has_room(sender)) {
            return;
        }
        const auto left = source.size() - sender.offset;
        const auto size = std::min(limit, left);
        const auto begin = source.begin() + static_cast<std::ptrdiff_t>(sender.offset);
        pieces.push_back(
            add_piece(sender, {begin, begin + static_cast<std::ptrdiff_t>(size)}, size == left));
    }

    void receive(const sent_piece& piece) {
        const auto fit = receive_piece(receiver, piece.offset, piece.bytes.size(), piece.is_last);
        if (fit == piece_fit::next) {
            received.insert(received.end(), piece.bytes.begin(), piece.bytes.end());
        }
    }

    void take(std::uint64_t limit) {
        passed_on = std::min(receiver.offset, passed_on + limit);
        notes.push_back({passed_on, receiver.is_whole && passed_on == receiver.offset});
    }

    void resume() {
        for (auto& piece : missing_pieces(sender, receiver.offset)) {
            pieces.push_back(std::move(piece));
        }
    }
};

template <class Queue> auto take_out(Queue& queue, std::size_t which) {
    const auto position = queue.begin() + static_cast<std::ptrdiff_t>(which % queue.size());
    auto taken = *position;
    queue.erase(position);
    return taken;
}

void apply(body_world& world, unsigned kind, std::size_t which) {
    switch (kind % 7) {
    case 0:
    case 1:
        world.send(1 + which);
        break;
    case 2:
        if (!world.pieces.empty()) {
            world.receive(take_out(world.pieces, which % 2 == 0 ? 0 : which));
        }
        break;
    case 3: // A lost link loses all messages in flight.
        world.pieces.clear();
        world.resume();
        break;
    case 4:
        world.take(which);
        break;
    case 5:
        if (!world.notes.empty()) {
            const auto next = take_out(world.notes, which);
            note_taken(world.sender, next.taken, next.is_whole);
        }
        break;
    case 6:
        if (!world.pieces.empty()) {
            (void)take_out(world.pieces, which);
        }
        break;
    }
}

/// Guards against bodies that are truncated, contain a piece twice or exceed their window when
/// links are lost.
RC_GTEST_PROP(body_stream, arrives_whole_and_in_order_whatever_links_lose, ()) {
    body_world world;
    world.source = *rc::gen::container<bytes>(*rc::gen::inRange<std::size_t>(0, 2000),
                                              rc::gen::arbitrary<std::uint8_t>());
    const auto steps = *rc::gen::container<std::vector<std::pair<unsigned, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange(0U, 7U), rc::gen::inRange<std::size_t>(0, 300)));
    for (const auto& [kind, which] : steps) {
        apply(world, kind, which);
        RC_ASSERT(std::equal(world.received.begin(), world.received.end(), world.source.begin()));
        RC_ASSERT(kept_bytes(world.sender) <= world.sender.offset - world.sender.taken + 300);
    }
    for (std::size_t round = 0; round <= world.source.size() + 1 && !is_taken_whole(world.sender);
         ++round) {
        world.send(300);
        world.pieces.clear();
        world.resume();
        while (!world.pieces.empty()) {
            world.receive(take_out(world.pieces, 0));
        }
        world.take(world.source.size());
        note_taken(world.sender, world.notes.back().taken, world.notes.back().is_whole);
    }
    RC_ASSERT(is_taken_whole(world.sender));
    RC_ASSERT(world.received == world.source);
}

TEST(body_stream, sends_no_more_than_its_window) {
    outgoing_body body;
    while (has_room(body)) {
        (void)add_piece(body, bytes(65'536), false);
    }
    EXPECT_EQ(body.offset, body_window_bytes);
    note_taken(body, 65'536, false);
    EXPECT_TRUE(has_room(body));
}

/// Guards against memory that grows with the number of pieces: an upstream that sends chunks of one
/// byte, whose receiver takes nothing, filled the window with 262,144 of them.
TEST(body_stream, holds_bounded_memory_whatever_the_size_of_its_pieces) {
    for (const std::size_t size : {1U, 2U, 100U, 512U, 16'384U}) {
        const auto before = mallinfo2().uordblks;
        outgoing_body body;
        while (has_room(body)) {
            (void)add_piece(body, bytes(size), false);
        }
        const auto used = mallinfo2().uordblks - before;
        EXPECT_LE(used, body_window_bytes + 16'384 + piece_overhead_bytes) << size;
        EXPECT_LE(kept_memory(body), body_window_bytes + size + piece_overhead_bytes) << size;
        note_taken(body, body.offset, false);
        EXPECT_TRUE(has_room(body)) << size;
    }
}

/// An idempotent call that waits for its answer, at an entry whose only endpoint is its gate.
struct waiting_call {
    waiting_call() {
        state.deadline = now + seconds{30};
        state.is_idempotent = true;
        handle(request_event{});
    }

    std::vector<entry_action> handle(const entry_event& event) {
        const std::function<std::optional<attempt_target>(const std::vector<node_id>&)> choose =
            [this](const std::vector<node_id>& tried) {
                return tried.empty() ? std::optional(target) : std::nullopt;
            };
        return advance(state, event, {budget, choose, now});
    }

    /// Lets the call's next timer fire.
    std::vector<entry_action> wait() {
        now = next_timer(state);
        return handle(timer_event{});
    }

    const attempt_target target{.call = {1, 1}, .node = node_id("gate")};
    entry_call state;
    retry_budget budget;
    instant now{microseconds(1'000'000)};
};

/// A waiting_call after the head of its answer was passed on.
struct answering_call : waiting_call {
    answering_call() { handle(answer_event{.call = target.call, .is_whole = false}); }
};

template <class Action> std::size_t count_of(const std::vector<entry_action>& actions) {
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(), [](const entry_action& action) {
            return std::holds_alternative<Action>(action);
        }));
}

/// Guards against cutting an answer short when the link that carries it is lost.
TEST(answering_call, asks_for_the_rest_when_the_link_is_lost) {
    answering_call call;
    const auto actions = call.handle(link_lost_event{call.target.node});
    EXPECT_EQ(count_of<reattach_action>(actions), 1U);
    EXPECT_EQ(count_of<break_off_action>(actions), 0U);
    EXPECT_EQ(count_of<reattach_action>(call.wait()), 1U);
    (void)call.handle(piece_event{call.target.call});
    EXPECT_GT(next_timer(call.state), call.now + milliseconds{500});
}

/// Guards against answers that stop for good: the gate sent pieces over a link that the entry had
/// given up before its hello arrived, so no link loss was reported.
TEST(answering_call, asks_when_nothing_follows) {
    answering_call call;
    for (int question = 0; question < 20; ++question) {
        EXPECT_EQ(count_of<reattach_action>(call.wait()), 1U);
        EXPECT_LE(call.now, instant{milliseconds{1000 + 2000 * (question + 1)}});
        // The gate replies that nothing is missing.
        (void)call.handle(piece_event{call.target.call});
    }
    EXPECT_FALSE(call.state.is_over) << "an upstream may be silent for as long as it likes";
}

/// Guards against cancelling a call and running it again elsewhere while its gate still runs it.
TEST(asked_call, stays_at_a_gate_that_has_it) {
    waiting_call call;
    (void)call.handle(link_lost_event{call.target.node});
    for (int question = 0; question < 10; ++question) {
        (void)call.handle(under_way_event{call.target.call});
        EXPECT_EQ(count_of<reattach_action>(call.wait()), 1U);
    }
    EXPECT_FALSE(call.state.is_over);
    EXPECT_EQ(call.state.arrivals, 0U);
}

/// Guards against one reattach for each of many messages lost with one link.
TEST(asked_call, is_asked_for_once_a_link) {
    waiting_call call;
    EXPECT_EQ(count_of<reattach_action>(call.handle(link_lost_event{call.target.node})), 1U);
    EXPECT_EQ(count_of<reattach_action>(call.handle(link_lost_event{call.target.node})), 0U);
}

/// Guards against a burst of reattaches: each piece after a missing one reports the same gap.
TEST(answering_call, asks_once_for_a_gap) {
    answering_call call;
    EXPECT_EQ(count_of<reattach_action>(call.handle(piece_missing_event{call.target.call})), 1U);
    EXPECT_EQ(count_of<reattach_action>(call.handle(piece_missing_event{call.target.call})), 0U);
}

/// Guards against callers that wait forever for a node that has died.
TEST(answering_call, is_broken_off_when_its_gate_stays_away) {
    answering_call call;
    (void)call.handle(link_lost_event{call.target.node});
    const auto lost_at = call.now;
    std::size_t broken = 0;
    while (broken == 0 && next_timer(call.state) != instant::max()) {
        broken = count_of<break_off_action>(call.wait());
    }
    EXPECT_EQ(broken, 1U);
    EXPECT_GE(call.now - lost_at, milliseconds{2000}) << "a silent link may take that long";
    EXPECT_LE(call.now - lost_at, milliseconds{10'000});
    EXPECT_TRUE(call.state.is_over);
}

/// Guards against cutting an answer when its node leaves the fleet and still completes its calls.
TEST(answering_call, outlives_its_endpoints_leave) {
    answering_call call;
    (void)call.handle(link_lost_event{call.target.node});
    EXPECT_EQ(count_of<break_off_action>(call.handle(endpoint_gone_event{call.target.node})), 0U);
    EXPECT_FALSE(call.state.is_over);
}

/// Guards against two sides that count other bytes and resend one piece for ever.
TEST(body_stream, a_piece_that_overlaps_received_bytes_is_told_from_a_repeated_one) {
    incoming_body body{.offset = 99, .is_whole = false};
    EXPECT_EQ(receive_piece(body, 0, 99, false), piece_fit::repeated);
    EXPECT_EQ(receive_piece(body, 0, 100, false), piece_fit::overlap);
    EXPECT_EQ(receive_piece(body, 100, 1, false), piece_fit::gap);
    EXPECT_EQ(receive_piece(body, 99, 1, true), piece_fit::next);
    EXPECT_EQ(receive_piece(body, 99, 2, true), piece_fit::repeated);
}

} // namespace
} // namespace cyclamenhatch::call
