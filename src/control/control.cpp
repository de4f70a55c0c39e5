#include "control/control.h"

#include "control/feed_steps.h"
#include "control/steps.h"

#include "membership/duty.h"
#include "membership/joiner.h"
#include "messages/address_text.h"

#include <algorithm>
#include <iterator>

namespace cyclamenhatch::control {
namespace {

constexpr std::size_t contacts_per_data_centre = 2;
/// Failed requests in a row after which a watcher hands its duty on; one may be a cut connection.
constexpr std::uint32_t failures_to_hand_on = 2;
/// How long others hold the duty before this node tries the store again.
constexpr seconds store_away_time{5};
constexpr seconds close_retry{2};
constexpr seconds close_deadline{10};
constexpr milliseconds lonely_read_delay{500};
constexpr seconds fallback_read_interval{5};

msg::member_record_msg make_self_record(const msg::settings_msg& settings, instant now) {
    msg::member_record_msg self;
    self.node = settings.identity->node;
    self.region = settings.identity->region;
    self.data_centre = settings.identity->data_centre;
    self.ip = settings.listen->ip;
    self.link_port = settings.listen->link_port;
    self.caller_port = settings.listen->caller_port;
    self.admin_port = settings.listen->admin_port;
    self.incarnation = static_cast<std::uint64_t>(to_unix_ms(now));
    return self;
}

std::vector<peer_address> read_contacts(const msg::settings_msg& settings) {
    std::vector<peer_address> contacts;
    for (const auto& text : settings.cluster->contacts) {
        if (const auto address = parse_address(text)) {
            contacts.push_back(*address);
        }
    }
    return contacts;
}

std::string store_prefix(const msg::settings_msg& settings) {
    return settings.store->prefix.empty() ? "/cyclamenhatch/" : settings.store->prefix;
}

store::writer_config make_writer_config(const msg::settings_msg& settings) {
    store::writer_config config;
    config.prefix = store_prefix(settings);
    config.reads_per_s = settings.store->reads_per_s;
    config.writes_per_s = settings.store->writes_per_s;
    return config;
}

void take_writer(state& self, store::writer_actions&& from, instant now, actions& wanted) {
    append(wanted.requests, std::move(from.requests));
    append(wanted.replies, std::move(from.replies));
    offer_config(self, from.newer, now, wanted);
}

void take_reader(state& self, store::reader_actions&& from, instant now, actions& wanted) {
    append(wanted.requests, std::move(from.requests));
    if (!from.rejected_for.empty()) {
        reject_config(self, from.rejected, from.rejected_for, now, wanted);
    }
    // A read that shows what is held as current also refreshes a node that woke up alone.
    const bool is_confirmed = !from.found && from.is_current;
    offer_config(self, is_confirmed ? self.spread.held : from.found, now, wanted);
}

void take_contacts(state& self, store::contact_actions&& from, instant now, actions& wanted) {
    append(wanted.requests, std::move(from.requests));
    if (from.found.empty()) {
        return;
    }
    membership::add_contacts(self.members, from.found);
    if (membership::live_records(self.members).size() <= 1) {
        membership::accelerate_rejoins(self.members, now);
    }
}

/// The id is the same for each proposal of the same ending, so that proposing again is idempotent.
operation_id close_operation(const store::move_close& close) {
    const auto* outcome = close.ending.outcome == move_outcome::done ? "done" : "taken-back";
    return operation_id{"close/" + close.service.value + "/" + close.name.value + "/" +
                        std::to_string(close.attempt) + "/" + outcome};
}

void forget_old_proposals(state& self, instant now) {
    for (auto each = self.close_proposed.begin(); each != self.close_proposed.end();) {
        const bool is_old = now - each->second > 10 * close_deadline;
        each = is_old ? self.close_proposed.erase(each) : std::next(each);
    }
}

void tick_members(state& self, instant now, actions& wanted) {
    append(wanted.sends, membership::on_tick(self.members, now, self.random));
    if (self.members.pauses == self.pauses_seen) {
        return;
    }
    self.pauses_seen = self.members.pauses;
    distribution::on_pause(self.spread, now);
    self.next_fallback_read =
        self.operators ? now + start_spread(self) : now + fallback_read_interval;
    wanted.logs.push_back(
        {log_level::warning, "pause_noticed", {{"pauses", std::to_string(self.members.pauses)}}});
}

/// Reads the store when it is the only place left to learn the configuration from: at once when no
/// other member lives, else only after the members had their chance. A returning herd so learns
/// from its peers and leaves the store alone.
void read_store_as_fallback(state& self, instant now, store::reader_actions& from_reader) {
    if (distribution::is_ready(self.spread) || now < self.next_fallback_read) {
        return;
    }
    const bool is_alone = membership::live_records(self.members).size() <= 1;
    const bool has_waited = now - self.started >= fallback_read_interval;
    if (!self.members.has_joined || (!is_alone && !has_waited)) {
        return;
    }
    std::uniform_int_distribution<milliseconds::rep> jitter(0, lonely_read_delay.count());
    self.next_fallback_read = now + fallback_read_interval + milliseconds{jitter(self.random)};
    store::refresh(self.reader, now, from_reader);
}

void tick_head(state& self, bool watches, instant now, actions& wanted) {
    store::reader_actions from_reader;
    store::set_watching(self.reader, watches, now, from_reader);
    read_store_as_fallback(self, now, from_reader);
    store::on_tick(self.reader, now, self.random, from_reader);
    take_reader(self, std::move(from_reader), now, wanted);

    store::writer_actions from_writer;
    store::on_tick(self.writer, now, self.random, from_writer);
    take_writer(self, std::move(from_writer), now, wanted);
}

/// A watcher that does not reach the store hands its duties there on for a while.
void tell_store_reach(state& self, bool watches, instant now, actions& wanted) {
    const auto& service = self.operators ? self.operators->service : self.reader.service;
    const auto failures = service.failures;
    const bool is_away = self.members.self.store_away;
    if (watches && failures >= failures_to_hand_on) {
        self.store_away_until = now + store_away_time;
        membership::set_store_unreachable(self.members, true);
    } else if (is_away && now >= self.store_away_until) {
        membership::set_store_unreachable(self.members, false);
    }
    if (self.members.self.store_away != is_away) {
        wanted.logs.push_back({is_away ? log_level::info : log_level::warning,
                               is_away ? "store_duty_resumed" : "store_duty_handed_on",
                               {{"failures", std::to_string(failures)}}});
    }
}

void tick_store(state& self, instant now, actions& wanted) {
    const bool watches = distribution::is_store_watcher(self.spread, self.members) &&
                         self.members.has_joined && !self.is_leaving;
    if (self.operators) {
        tick_feed(self, watches, now, wanted);
    } else {
        tick_head(self, watches, now, wanted);
    }
    tell_store_reach(self, watches, now, wanted);

    if (self.is_leaving) {
        return;
    }
    store::contact_actions from_contacts;
    // Before it has joined a node knows of nobody else and would take every duty.
    const bool is_contact =
        self.members.has_joined &&
        membership::has_duty(self.members, "contact", contacts_per_data_centre,
                             data_centre_id{self.settings.identity->data_centre});
    const bool is_first_contact =
        self.members.has_joined &&
        membership::has_duty(self.members, "contact", 1,
                             data_centre_id{self.settings.identity->data_centre});
    const bool is_alone = membership::live_records(self.members).size() <= 1;
    store::on_tick(self.contacts, is_contact, !self.members.has_joined || is_alone, now,
                   self.random, from_contacts, is_first_contact);
    take_contacts(self, std::move(from_contacts), now, wanted);
}

void tick_moves(state& self, instant now, actions& wanted) {
    moves::actions from_moves;
    moves::on_tick(self.moves, self.members, now, self.random, from_moves);
    take_moves(self, std::move(from_moves), now, wanted);
    forget_old_proposals(self, now);
}

call::endpoint make_endpoint(const msg::member_record_msg& record) {
    return {.node = node_id{record.node},
            .link = membership::link_address(record),
            .region = region_id{record.region},
            .data_centre = data_centre_id{record.data_centre},
            .version = version_id{record.upstream->version},
            .state = record.upstream->state,
            .slots = record.upstream->slots,
            .cold = milliseconds{record.upstream->cold_ms},
            .incarnation = record.incarnation,
            .instance = record.upstream->instance,
            .is_suspect = record.state == msg::liveness::suspect};
}

snapshot_ptr empty_configuration() {
    static const auto empty = std::make_shared<const snapshot>();
    return empty;
}

} // namespace

void submit_close(state& self, const store::move_close& close, instant now, actions& wanted) {
    if (self.records) {
        feed::want_record(*self.records, make_record(self, close), now);
        return;
    }
    const moves::attempt_key key{close.service, close.name, close.attempt};
    const auto proposed = self.close_proposed.find(key);
    if (proposed != self.close_proposed.end() && now - proposed->second < close_retry) {
        return;
    }
    self.close_proposed[key] = now;
    submit_write(self, {close_operation(close), close, now + close_deadline}, now, wanted);
}

state make_state(const msg::settings_msg& settings, std::uint64_t seed, instant now,
                 const std::optional<feed::dialect>& words) {
    const auto prefix = store_prefix(settings);
    const auto self_record = make_self_record(settings, now);
    const auto link = membership::link_address(self_record);
    state self{
        .settings = settings,
        .random = random_source{seed},
        .members =
            membership::make_table(*settings.membership, self_record, read_contacts(settings), now),
        .spread = distribution::make_state(*settings.distribution, now),
        .writer = store::make_config_writer(make_writer_config(settings), now),
        .reader = store::make_head_reader(prefix, settings.store->reads_per_s, now),
        .contacts = store::make_contact_keeper(prefix, settings.identity->node, link,
                                               settings.store->contact_lease_s, now),
        .moves = moves::make_state(*settings.move, now),
    };
    self.contacts.first_read_spread = milliseconds{settings.store->start_spread_ms};
    self.start_ms = static_cast<std::uint64_t>(to_unix_ms(now));
    self.started = now;
    self.next_fallback_read = now;
    if (words) {
        self.operators = feed::make_operator_reader(*words, now);
        self.records = feed::make_record_keeper(*words);
        self.next_fallback_read = now + start_spread(self);
    }
    return self;
}

void on_tick(state& self, instant now, actions& wanted) {
    if (!self.is_leaving) {
        tick_members(self, now, wanted);
    }
    distribution::actions from_spread;
    distribution::on_tick(self.spread, self.members, now, self.random, from_spread);
    take(wanted, std::move(from_spread));
    tick_store(self, now, wanted);
    tell_of_config(self, now, wanted);
    tick_moves(self, now, wanted);
}

void on_message(state& self, const incoming& from, instant now, actions& wanted) {
    append(wanted.sends, membership::on_message(self.members, from, now, self.random));
    distribution::actions from_spread;
    distribution::on_message(self.spread, self.members, from, now, self.random, from_spread);
    take(wanted, std::move(from_spread));
    tell_of_config(self, now, wanted);
    moves::actions from_moves;
    moves::on_message(self.moves, self.members, from, now, self.random, from_moves);
    take_moves(self, std::move(from_moves), now, wanted);
}

void on_store_response(state& self, const store::kv_response& response, instant now,
                       actions& wanted) {
    if (self.operators && on_feed_response(self, response, now, wanted)) {
        return;
    }
    store::writer_actions from_writer;
    if (store::on_response(self.writer, response, now, self.random, from_writer)) {
        take_writer(self, std::move(from_writer), now, wanted);
        return;
    }
    store::reader_actions from_reader;
    if (store::on_response(self.reader, response, now, self.random, from_reader)) {
        take_reader(self, std::move(from_reader), now, wanted);
        return;
    }
    store::contact_actions from_contacts;
    if (store::on_response(self.contacts, response, now, self.random, from_contacts)) {
        take_contacts(self, std::move(from_contacts), now, wanted);
    }
}

void submit_write(state& self, store::write_request request, instant now, actions& wanted) {
    store::writer_actions from_writer;
    store::submit(self.writer, std::move(request), now, self.random, from_writer);
    take_writer(self, std::move(from_writer), now, wanted);
}

void set_upstream(state& self, const msg::upstream_record_msg& upstream, instant now,
                  actions& wanted) {
    membership::set_upstream(self.members, upstream, now);
    wanted.logs.push_back({log_level::info,
                           "upstream_announced",
                           {{"service", upstream.service},
                            {"version", upstream.version},
                            {"state", msg::EnumNameupstream_state(upstream.state)},
                            {"slots", std::to_string(upstream.slots)}}});
}

void record_samples(state& self, const std::vector<call::call_sample>& samples, instant now) {
    moves::record(self.moves, samples, now);
}

void leave(state& self, instant now, actions& wanted) {
    self.is_leaving = true;
    append(wanted.sends, membership::leave(self.members, now, self.random));
    store::contact_actions from_contacts;
    store::leave(self.contacts, from_contacts);
    take_contacts(self, std::move(from_contacts), now, wanted);
}

call::routing_view make_routing_view(const state& self, instant now) {
    call::routing_view view;
    view.config = self.spread.held ? self.spread.held : empty_configuration();
    view.is_ready = distribution::is_ready(self.spread);
    view.is_draining = self.is_leaving;
    const auto live = membership::live_records(self.members);
    view.live_nodes = live.size();
    for (const auto* record : live) {
        const bool has_upstream = record->upstream != nullptr &&
                                  record->upstream->state != msg::upstream_state::none &&
                                  record->upstream->state != msg::upstream_state::gone;
        if (has_upstream) {
            view.endpoints[service_id{record->upstream->service}].push_back(make_endpoint(*record));
        }
    }
    view.shares = moves::shares(self.moves, now);
    return view;
}

} // namespace cyclamenhatch::control
