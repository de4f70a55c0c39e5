#include "control/control.h"

#include "control/feed_steps.h"
#include "control/steps.h"

#include "membership/announced_leave.h"
#include "membership/duty.h"
#include "membership/joiner.h"
#include "messages/address_text.h"

#include <algorithm>
#include <iterator>

namespace cyclamenhatch::control {
namespace {

constexpr std::size_t contacts_per_data_centre = 2;
/// Time after the start of the process in which its member table may lack many members, so that it
/// shows duties that belong to others.
constexpr seconds settling_time{10};
/// A duty counts during `settling_time` once the table has shown it for this long.
constexpr seconds settled_duty_time{1};
/// Consecutive failed requests after which a watcher hands its duty to another node. A single
/// failure may be just a closed connection.
constexpr std::uint32_t handover_failures = 2;
/// How long others keep the duty before this node tries the store again.
constexpr seconds store_handover_time{5};
/// Members that seem to have started earlier by less than this may have started together.
constexpr milliseconds max_clock_difference{10'000};
constexpr seconds close_retry{2};
constexpr seconds close_deadline{10};
constexpr milliseconds max_read_jitter{500};
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

void apply_writer_actions(state& self, store::writer_actions&& produced, instant now,
                          actions& out) {
    append(out.requests, std::move(produced.requests));
    append(out.replies, std::move(produced.replies));
    offer_config(self, produced.newer_snapshot, now, out);
}

void apply_reader_actions(state& self, store::reader_actions&& produced, instant now,
                          actions& out) {
    append(out.requests, std::move(produced.requests));
    if (!produced.rejection_reasons.empty()) {
        reject_config(self, produced.rejected_version, produced.rejection_reasons, now, out);
    }
    // A read that confirms the held configuration also makes a node ready again after a pause.
    const bool is_confirmed = !produced.snapshot && produced.is_current;
    offer_config(self, is_confirmed ? self.distribution.config : produced.snapshot, now, out);
}

void apply_contact_actions(state& self, store::contact_actions&& produced, instant now,
                           actions& out) {
    append(out.requests, std::move(produced.requests));
    append(out.logs, std::move(produced.logs));
    if (produced.contacts.empty()) {
        return;
    }
    membership::add_contacts(self.members, produced.contacts, now);
    if (membership::live_records(self.members).size() <= 1) {
        membership::accelerate_rejoins(self.members, now);
    }
}

/// Applies the leave that an earlier process of this node has stored, as if a member remembered it.
void apply_leave_actions(state& self, store::leave_actions&& produced, actions& out) {
    append(out.requests, std::move(produced.requests));
    append(out.logs, std::move(produced.logs));
    if (produced.recovered) {
        membership::recover_own_leave(self.members, *produced.recovered);
    }
}

/// Whether this node has joined a member that ran before this process began, and so remembers what
/// the upstream has announced to the process before.
bool is_remembered_by_others(const state& self) {
    if (!self.members.has_joined) {
        return false;
    }
    const auto live = membership::live_records(self.members);
    return std::any_of(live.begin(), live.end(), [&](const auto* record) {
        return record->incarnation + static_cast<std::uint64_t>(max_clock_difference.count()) <
               self.start_ms;
    });
}

/// The id is the same for each proposal of the same ending, so that a repeated proposal is
/// idempotent.
operation_id close_operation(const store::move_close& close) {
    const auto* outcome = close.ending.outcome == move_outcome::done ? "done" : "taken-back";
    return operation_id{"close/" + close.service.value + "/" + close.name.value + "/" +
                        std::to_string(close.attempt) + "/" + outcome};
}

void forget_old_proposals(state& self, instant now) {
    for (auto it = self.close_proposed.begin(); it != self.close_proposed.end();) {
        const bool is_old = now - it->second > 10 * close_deadline;
        it = is_old ? self.close_proposed.erase(it) : std::next(it);
    }
}

void tick_members(state& self, instant now, actions& out) {
    if (self.attended_generation != self.members.generation) {
        self.attended_generation = self.members.generation;
        membership::set_attended(
            self.members, distribution::list_watchers_ahead(self.distribution, self.members));
    }
    append(out.sends, membership::on_tick(self.members, now, self.random));
    if (self.members.pauses == self.handled_pauses) {
        return;
    }
    self.handled_pauses = self.members.pauses;
    distribution::on_pause(self.distribution, now);
    store::forget_pending(self.store_path);
    self.last_fallback_read.reset();
    self.next_fallback_read =
        self.operator_reader ? now + random_start_delay(self) : now + fallback_read_interval;
    out.logs.push_back(
        {log_level::warning, "pause_noticed", {{"pauses", std::to_string(self.members.pauses)}}});
}

/// Reads the store while no configuration is in force here: at once when no other member is alive,
/// otherwise only after `fallback_read_interval`. Many nodes that restart together then get the
/// configuration from their peers and do not overload the store.
void read_store_as_fallback(state& self, instant now, store::reader_actions& reader_output) {
    if (distribution::is_ready(self.distribution) || now < self.next_fallback_read) {
        return;
    }
    const bool is_alone = membership::live_records(self.members).size() <= 1;
    const bool has_waited = now - self.started >= fallback_read_interval;
    if (!self.members.has_joined || (!is_alone && !has_waited)) {
        return;
    }
    std::uniform_int_distribution<milliseconds::rep> jitter(0, max_read_jitter.count());
    self.next_fallback_read = now + fallback_read_interval + milliseconds{jitter(self.random)};
    store::refresh(self.reader, now, reader_output);
}

void tick_head(state& self, bool is_watcher, instant now, actions& out) {
    store::reader_actions reader_output;
    store::set_watching(self.reader, is_watcher, now, reader_output);
    read_store_as_fallback(self, now, reader_output);
    store::on_tick(self.reader, now, self.random, reader_output);
    apply_reader_actions(self, std::move(reader_output), now, out);

    store::writer_actions writer_output;
    store::on_tick(self.writer, now, self.random, writer_output);
    apply_writer_actions(self, std::move(writer_output), now, out);
}

/// Hands the store duties of this node to others when the store is unreachable from here, for at
/// least `store_handover_time` and until the path to it is heard again.
void update_store_duty(state& self, bool is_watcher, instant now, actions& out) {
    const auto& service =
        self.operator_reader ? self.operator_reader->service : self.reader.service;
    const auto failures = service.failures;
    const bool is_away = self.members.self.store_away;
    const bool is_silent =
        self.store_path.is_silent && distribution::may_hand_watch_on_early(self.members);
    const auto candidates = [&] {
        return distribution::list_watch_candidates(self.distribution, self.members);
    };
    if (is_watcher && (failures >= handover_failures || is_silent)) {
        self.store_handover_until = now + store_handover_time;
        append(out.sends, membership::set_store_unreachable(self.members, true, candidates()));
    } else if (is_away && now >= self.store_handover_until && !self.store_path.is_silent) {
        append(out.sends, membership::set_store_unreachable(self.members, false, {}));
    }
    if (self.members.self.store_away != is_away) {
        self.store_handovers += is_away ? 0 : 1;
        out.logs.push_back({is_away ? log_level::info : log_level::warning,
                            is_away ? "store_duty_resumed" : "store_duty_handed_on",
                            {{"failures", std::to_string(failures)},
                             {"path_silent", self.store_path.is_silent ? "yes" : "no"}}});
    }
}

/// Whether a duty that the member table shows is taken on. Without this, all nodes of a fleet that
/// starts at once would watch the store and publish contacts before they know each other.
bool is_duty_settled(const state& self, bool is_shown, std::optional<instant>& since, instant now) {
    if (!is_shown || !self.members.has_joined || self.is_leaving) {
        since.reset();
        return false;
    }
    since = since.value_or(now);
    return now - self.started >= settling_time || now - *since >= settled_duty_time;
}

/// Whether this node watches the store. One that stands by for a watcher that has failed, or lost
/// its path to the store, knows its data centre and does not wait until the duty has settled.
bool is_watching_due(state& self, instant now) {
    const bool is_shown = distribution::is_store_watcher(self.distribution, self.members);
    const bool is_settled = is_duty_settled(self, is_shown, self.watcher_since, now);
    return is_settled || (self.watcher_since &&
                          membership::has_unable_at_store(self.members, self.members.attended));
}

void tick_store(state& self, instant now, actions& out) {
    const bool is_watcher = is_watching_due(self, now);
    if (self.operator_reader) {
        tick_feed(self, is_watcher, now, out);
    } else {
        tick_head(self, is_watcher, now, out);
    }
    store::on_tick(self.store_path, is_watcher, now, out.requests);
    update_store_duty(self, is_watcher, now, out);
    if (!self.leaves.has_read && is_remembered_by_others(self)) {
        store::note_remembered(self.leaves);
    }
    store::leave_actions leave_output;
    store::on_tick(self.leaves, self.members.has_joined, now, self.random, leave_output);
    apply_leave_actions(self, std::move(leave_output), out);

    if (self.is_leaving) {
        return;
    }
    store::contact_actions contact_output;
    const data_centre_id data_centre{self.settings.identity->data_centre};
    const bool is_contact = is_duty_settled(
        self, membership::has_duty(self.members, "contact", contacts_per_data_centre, data_centre),
        self.contact_since, now);
    const bool is_first_contact =
        is_duty_settled(self, membership::has_duty(self.members, "contact", 1, data_centre),
                        self.first_contact_since, now);
    const bool is_alone = membership::live_records(self.members).size() <= 1;
    store::on_tick(self.contacts, is_contact, !self.members.has_joined || is_alone, now,
                   self.random, contact_output, is_first_contact);
    apply_contact_actions(self, std::move(contact_output), now, out);
}

void tick_moves(state& self, instant now, actions& out) {
    moves::actions move_actions;
    moves::on_tick(self.moves, self.members, now, self.random, move_actions);
    apply_move_actions(self, std::move(move_actions), now, out);
    forget_old_proposals(self, now);
}

call::endpoint make_endpoint(const msg::member_record_msg& record, const snapshot& config) {
    return {.node = node_id{record.node},
            .link = membership::link_address(record),
            .region = region_id{record.region},
            .data_centre = data_centre_id{record.data_centre},
            .version = version_id{record.upstream->version},
            .state = record.upstream->state,
            .slots = record.upstream->slots,
            .warm_up_time = milliseconds{record.upstream->cold_ms},
            .incarnation = record.incarnation,
            .instance = record.upstream->instance,
            .started_ms = record.upstream->started_ms,
            .is_suspect = record.state == msg::liveness::suspect,
            .is_evacuated = is_evacuated(config, data_centre_id{record.data_centre})};
}

snapshot_ptr empty_configuration() {
    static const auto empty = std::make_shared<const snapshot>();
    return empty;
}

} // namespace

void submit_close(state& self, const store::move_close& close, instant now, actions& out) {
    if (self.record_keeper) {
        feed::request_record(*self.record_keeper, make_record(self, close), now);
        return;
    }
    const moves::attempt_key key{close.service, close.name, close.attempt};
    const auto proposed = self.close_proposed.find(key);
    if (proposed != self.close_proposed.end() && now - proposed->second < close_retry) {
        return;
    }
    self.close_proposed[key] = now;
    submit_write(self, {close_operation(close), close, now + close_deadline}, now, out);
}

state make_state(const msg::settings_msg& settings, std::uint64_t seed, instant now,
                 const std::optional<feed::config_format>& config_format) {
    const auto prefix = store_prefix(settings);
    const auto self_record = make_self_record(settings, now);
    const auto link = membership::link_address(self_record);
    state self{
        .settings = settings,
        .random = random_source{seed},
        .quarantine_random = random_source{seed + 1},
        .members =
            membership::make_table(*settings.membership, self_record, read_contacts(settings), now),
        .distribution = distribution::make_state(*settings.distribution, now),
        .writer = store::make_config_writer(make_writer_config(settings), now),
        .reader = store::make_head_reader(prefix, settings.store->reads_per_s, now),
        .contacts = store::make_contact_keeper(prefix, settings.identity->node, link,
                                               settings.store->contact_lease_s, now),
        .moves = moves::make_state(*settings.move, now),
        .quarantine = {.self = node_id{settings.identity->node}},
        .allowances = {.self = node_id{settings.identity->node},
                       .stated = allowance::read_rules(settings)},
    };
    self.contacts.first_read_spread = milliseconds{settings.store->start_spread_ms};
    self.start_ms = static_cast<std::uint64_t>(to_unix_ms(now));
    self.started = now;
    self.next_fallback_read = now;
    self.leaves = store::make_leave_keeper(prefix, settings.identity->node, now);
    self.store_path = store::make_path_probe(prefix);
    if (config_format) {
        self.operator_reader = feed::make_operator_reader(*config_format, now);
        self.record_keeper = feed::make_record_keeper(*config_format);
        self.next_fallback_read = now + random_start_delay(self);
    }
    return self;
}

void on_tick(state& self, instant now, actions& out) {
    if (!self.is_leaving) {
        tick_members(self, now, out);
    }
    distribution::actions spread_actions;
    distribution::on_tick(self.distribution, self.members, now, self.random, spread_actions);
    apply_distribution_actions(out, std::move(spread_actions));
    tick_store(self, now, out);
    apply_held_config(self, now, out);
    tick_moves(self, now, out);
    tick_quarantine(self, now, out);
    tick_allowances(self, now, out);
}

void on_message(state& self, const incoming& received, instant now, actions& out) {
    append(out.sends, membership::on_message(self.members, received, now, self.random));
    distribution::actions spread_actions;
    distribution::on_message(self.distribution, self.members, received, now, self.random,
                             spread_actions);
    apply_distribution_actions(out, std::move(spread_actions));
    apply_held_config(self, now, out);
    moves::actions move_actions;
    moves::on_message(self.moves, self.members, received, now, self.random, move_actions);
    apply_move_actions(self, std::move(move_actions), now, out);
    pass_to_quarantine(self, received, now, out);
    pass_to_allowances(self, received, now, out);
}

void on_store_response(state& self, const store::kv_response& received, instant now, actions& out) {
    note_store_era(self, received.era, now, out);
    // A late response of an earlier era tells nothing about what is stored now.
    const bool is_outdated = received.era < self.store_era &&
                             !std::holds_alternative<store::kv_failure>(received.outcome);
    const store::kv_response dropped{
        .id = received.id,
        .outcome = store::kv_failure{store::kv_failure_kind::unknown, "earlier era"}};
    const auto& response = is_outdated ? dropped : received;
    if (store::on_response(self.store_path, response, now)) {
        return;
    }
    if (!std::holds_alternative<store::kv_failure>(received.outcome)) {
        store::note_heard(self.store_path, now);
    }
    if (self.operator_reader && on_feed_response(self, response, now, out)) {
        return;
    }
    store::writer_actions writer_output;
    if (store::on_response(self.writer, response, now, self.random, writer_output)) {
        apply_writer_actions(self, std::move(writer_output), now, out);
        return;
    }
    store::reader_actions reader_output;
    if (store::on_response(self.reader, response, now, self.random, reader_output)) {
        apply_reader_actions(self, std::move(reader_output), now, out);
        return;
    }
    store::contact_actions contact_output;
    store::leave_actions leave_output;
    if (store::on_response(self.contacts, response, now, self.random, contact_output)) {
        apply_contact_actions(self, std::move(contact_output), now, out);
        if (const auto* read = std::get_if<store::kv_entries>(&response.outcome)) {
            store::on_contacts(self.leaves, *read, now, leave_output);
        }
    } else if (!store::on_response(self.leaves, response, now, self.random, leave_output)) {
        return;
    }
    apply_leave_actions(self, std::move(leave_output), out);
}

void submit_write(state& self, store::write_request request, instant now, actions& out) {
    store::writer_actions writer_output;
    store::submit(self.writer, std::move(request), now, self.random, writer_output);
    apply_writer_actions(self, std::move(writer_output), now, out);
}

void set_upstream(state& self, const msg::upstream_record_msg& upstream, instant now,
                  actions& out) {
    append(out.sends, membership::set_upstream(self.members, upstream, now, self.random));
    store::leave_actions leave_output;
    if (membership::is_lasting_leave(&upstream)) {
        store::keep_leave(self.leaves, upstream, now, leave_output);
    } else if (upstream.state == msg::upstream_state::ready) {
        store::forget_leave(self.leaves, now, leave_output);
    }
    apply_leave_actions(self, std::move(leave_output), out);
    out.logs.push_back({log_level::info,
                        "upstream_announced",
                        {{"service", upstream.service},
                         {"version", upstream.version},
                         {"state", msg::EnumNameupstream_state(upstream.state)},
                         {"slots", std::to_string(upstream.slots)}}});
}

void record_samples(state& self, const std::vector<call::call_sample>& samples, instant now) {
    moves::add_samples(self.moves, samples, now);
}

void leave(state& self, instant now, actions& out) {
    self.is_leaving = true;
    append(out.sends, membership::leave(self.members, now, self.random));
    store::contact_actions contact_output;
    store::leave(self.contacts, contact_output);
    apply_contact_actions(self, std::move(contact_output), now, out);
}

bool is_ready(const state& self) {
    const bool knows_members =
        self.members.has_joined || membership::live_records(self.members).size() > 1;
    return knows_members && distribution::is_ready(self.distribution) && self.quarantine.has_learnt;
}

call::routing_view make_routing_view(const state& self, instant now) {
    call::routing_view view;
    view.config = self.distribution.config ? self.distribution.config : empty_configuration();
    view.is_ready = is_ready(self);
    view.is_draining = self.is_leaving;
    const auto live = membership::live_records(self.members);
    view.live_nodes = live.size();
    for (const auto* record : live) {
        const bool has_upstream = record->upstream != nullptr &&
                                  record->upstream->state != msg::upstream_state::none &&
                                  record->upstream->state != msg::upstream_state::gone;
        if (has_upstream) {
            view.endpoints[service_id{record->upstream->service}].push_back(
                make_endpoint(*record, *view.config));
        }
    }
    view.shares = moves::version_shares(self.moves, now);
    view.quarantine = self.quarantine.view;
    if (requires_access_key(*view.config)) {
        view.peers = list_peers(self);
    }
    return view;
}

} // namespace cyclamenhatch::control
