#include "call/body_stream.h"
#include "call/entry_call.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenhatch::call {
namespace {

using bytes = std::vector<std::uint8_t>;

/// A body between two nodes over links that lose, repeat and reorder what they carry.
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

    void send(std::size_t most) {
        if (!has_room(sender)) {
            return;
        }
        const auto left = source.size() - sender.offset;
        const auto size = std::min(most, left);
        const auto from = source.begin() + static_cast<std::ptrdiff_t>(sender.offset);
        pieces.push_back(
            add_piece(sender, {from, from + static_cast<std::ptrdiff_t>(size)}, size == left));
    }

    void receive(const sent_piece& piece) {
        const auto fit = receive_piece(receiver, piece.offset, piece.bytes.size(), piece.is_last);
        if (fit == piece_fit::next) {
            received.insert(received.end(), piece.bytes.begin(), piece.bytes.end());
        }
    }

    void take(std::uint64_t most) {
        passed_on = std::min(receiver.offset, passed_on + most);
        notes.push_back({passed_on, receiver.is_whole && passed_on == receiver.offset});
    }

    void resume() {
        for (auto& each : missing_pieces(sender, receiver.offset)) {
            pieces.push_back(std::move(each));
        }
    }
};

template <class Queue> auto take_out(Queue& from, std::size_t which) {
    const auto at = from.begin() + static_cast<std::ptrdiff_t>(which % from.size());
    auto taken = *at;
    from.erase(at);
    return taken;
}

void apply(body_world& of, unsigned kind, std::size_t which) {
    switch (kind % 7) {
    case 0:
    case 1:
        of.send(1 + which);
        break;
    case 2:
        if (!of.pieces.empty()) {
            of.receive(take_out(of.pieces, which % 2 == 0 ? 0 : which));
        }
        break;
    case 3: // A lost link takes all with it.
        of.pieces.clear();
        of.resume();
        break;
    case 4:
        of.take(which);
        break;
    case 5:
        if (!of.notes.empty()) {
            const auto next = take_out(of.notes, which);
            note_taken(of.sender, next.taken, next.is_whole);
        }
        break;
    case 6:
        if (!of.pieces.empty()) {
            (void)take_out(of.pieces, which);
        }
        break;
    }
}

/// Guards against bodies that end short, hold a piece twice or outgrow their window when links are
/// lost.
RC_GTEST_PROP(body_stream, arrives_whole_and_in_order_whatever_links_lose, ()) {
    body_world of;
    of.source = *rc::gen::container<bytes>(*rc::gen::inRange<std::size_t>(0, 2000),
                                           rc::gen::arbitrary<std::uint8_t>());
    const auto steps = *rc::gen::container<std::vector<std::pair<unsigned, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange(0U, 7U), rc::gen::inRange<std::size_t>(0, 300)));
    for (const auto& [kind, which] : steps) {
        apply(of, kind, which);
        RC_ASSERT(std::equal(of.received.begin(), of.received.end(), of.source.begin()));
        RC_ASSERT(kept_bytes(of.sender) <= of.sender.offset - of.sender.taken + 300);
    }
    for (std::size_t round = 0; round <= of.source.size() + 1 && !is_taken_whole(of.sender);
         ++round) {
        of.send(300);
        of.pieces.clear();
        of.resume();
        while (!of.pieces.empty()) {
            of.receive(take_out(of.pieces, 0));
        }
        of.take(of.source.size());
        note_taken(of.sender, of.notes.back().taken, of.notes.back().is_whole);
    }
    RC_ASSERT(is_taken_whole(of.sender));
    RC_ASSERT(of.received == of.source);
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

/// An idempotent call that waits for its answer, at an entry whose only endpoint is its gate.
struct waiting_call {
    waiting_call() {
        state.deadline = now + seconds{30};
        state.is_idempotent = true;
        handle(request_event{});
    }

    std::vector<entry_action> handle(const entry_event& event) {
        const std::function<std::optional<pick>(const std::vector<node_id>&)> choose =
            [this](const std::vector<node_id>& tried) {
                return tried.empty() ? std::optional(here) : std::nullopt;
            };
        return advance(state, event, {budget, choose, now});
    }

    /// Lets the call's next timer fire.
    std::vector<entry_action> wait() {
        now = next_timer(state);
        return handle(timer_event{});
    }

    const pick here{.call = {1, 1}, .node = node_id("gate")};
    entry_call state;
    retry_budget budget;
    instant now{microseconds(1'000'000)};
};

/// The same once its answer's head was passed on.
struct answering_call : waiting_call {
    answering_call() { handle(answer_event{.call = here.call, .is_whole = false}); }
};

template <class Action> std::size_t count_of(const std::vector<entry_action>& actions) {
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(), [](const entry_action& each) {
            return std::holds_alternative<Action>(each);
        }));
}

/// Guards against inc1: an answer that ends with the link that carried it.
TEST(answering_call, asks_for_the_rest_when_the_link_is_lost) {
    answering_call call;
    const auto actions = call.handle(link_lost_event{call.here.node});
    EXPECT_EQ(count_of<reattach_action>(actions), 1U);
    EXPECT_EQ(count_of<break_off_action>(actions), 0U);
    EXPECT_EQ(count_of<reattach_action>(call.wait()), 1U);
    (void)call.handle(piece_event{call.here.call});
    EXPECT_GT(next_timer(call.state), call.now + milliseconds{500});
}

/// Guards against answers that stop for good: what the gate sent went with a link that the entry
/// had given up before its hello came, so that no lost link was told.
TEST(answering_call, asks_when_nothing_follows) {
    answering_call call;
    for (int question = 0; question < 20; ++question) {
        EXPECT_EQ(count_of<reattach_action>(call.wait()), 1U);
        EXPECT_LE(call.now, instant{milliseconds{1000 + 2000 * (question + 1)}});
        // The gate says that nothing is missing.
        (void)call.handle(piece_event{call.here.call});
    }
    EXPECT_FALSE(call.state.is_over) << "an upstream may be silent for as long as it likes";
}

/// Guards against calls that are cancelled and run twice, though the gate that was asked runs them.
TEST(asked_call, stays_at_a_gate_that_has_it) {
    waiting_call call;
    (void)call.handle(link_lost_event{call.here.node});
    for (int question = 0; question < 10; ++question) {
        (void)call.handle(under_way_event{call.here.call});
        EXPECT_EQ(count_of<reattach_action>(call.wait()), 1U);
    }
    EXPECT_FALSE(call.state.is_over);
    EXPECT_EQ(call.state.arrivals, 0U);
}

/// Guards against a question for each of many messages that went with one link.
TEST(asked_call, is_asked_for_once_a_link) {
    waiting_call call;
    EXPECT_EQ(count_of<reattach_action>(call.handle(link_lost_event{call.here.node})), 1U);
    EXPECT_EQ(count_of<reattach_action>(call.handle(link_lost_event{call.here.node})), 0U);
}

/// Guards against a burst of questions: each piece behind a missing one shows the same gap.
TEST(answering_call, asks_once_for_a_gap) {
    answering_call call;
    EXPECT_EQ(count_of<reattach_action>(call.handle(piece_missing_event{call.here.call})), 1U);
    EXPECT_EQ(count_of<reattach_action>(call.handle(piece_missing_event{call.here.call})), 0U);
}

/// Guards against callers that wait without end for a node that has died.
TEST(answering_call, is_broken_off_when_its_gate_stays_away) {
    answering_call call;
    (void)call.handle(link_lost_event{call.here.node});
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

/// Guards against answers cut by a node that leaves the fleet and works on what it has.
TEST(answering_call, outlives_its_endpoints_leave) {
    answering_call call;
    (void)call.handle(link_lost_event{call.here.node});
    EXPECT_EQ(count_of<break_off_action>(call.handle(endpoint_gone_event{call.here.node})), 0U);
    EXPECT_FALSE(call.state.is_over);
}

} // namespace
} // namespace cyclamenhatch::call
