// The decision engine: chooses the server and the rung of each play, or declines it, and steps running plays
// up and down. Each call first records its event and then sends decisions through DecisionHandler before it
// returns. place_play() is the path of an ordinary play; the other functions maintain what it reads. "Own"
// plays, demands and set-ups are those of this front end; other front ends use the same servers.
#include "decision/policy.h"
#include "decision/overrun_bound.h"
#include "decision/retry_budget.h"
#include "decision/settings_reader.h"
#include "decision/slow_start.h"
#include "decision/sorted_indices.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace snowshore {

namespace {

// Tuning constants. Times are seconds, and a demand is a rate divided by the capacity of its link. All other
// values come from the settings or are observed.

// Admission test: the highest accepted bound on the probability that a link is overrun. design.md gives the
// reason for not using the one percent of the paper.
constexpr double kOverrunTolerance = 0.2;
// Coefficient of variation of a play's rate.
constexpr double kRateVariation = 0.25;
// Exponent that makes the test stricter for a rung that gains less importance for its rate.
constexpr double kStrictnessExponent = 1.2;

// Age up to which a reported demand is used.
constexpr double kReportLifetime = 10;
// Assumed time between the measurement of a load report and its arrival.
constexpr double kReportDelay = 0.4;
// Age up to which a report is a basis for stepping running plays.
constexpr double kFreshReportAge = 5;

// Time for which a server is avoided after one failure; it doubles with each further failure.
constexpr double kMinAvoidTime = 1;
constexpr double kMaxAvoidTime = 8;
// Share of a cold server's budget of set-ups that the front ends use.
constexpr double kColdBudgetShare = 0.9;
// Mean set-up time before any set-up is observed.
constexpr double kInitialSetUpTime = 0.15;
// Weight of a new observation in the mean set-up time.
constexpr double kSetUpTimeGain = 0.1;
// No allocation starts with less time left before the play's deadline.
constexpr double kMinTimeLeft = 0.1;

// Interval between reviews of the running plays.
constexpr double kReviewInterval = 0.5;
// Demand on a link from which plays are stepped down.
constexpr double kStepDownThreshold = 1.1;
// Time for which a play keeps its rung after a step.
constexpr double kStepCooldown = 5;
// Time constant with which a remembered shortage of a link decays.
constexpr double kShortageDecayTime = 8;
// Factor by which the test is stricter for a step up.
constexpr double kStepUpStrictness = 2;
// Feedback that arrives within this time after the start of a play describes the set-up, without delay.
constexpr double kSetUpFeedbackTime = 0.05;
// A delivered share below this means that the link is overrun; it is taken for at least kMinDeliveredShare.
constexpr double kFullDeliveredShare = 0.98;
constexpr double kMinDeliveredShare = 0.05;
// A reported link share from this on may stand for any higher demand, since servers report at most 1.
constexpr double kFullLinkShare = 0.99;
// Time for which feedback on a shortage holds, whatever load reports say.
constexpr double kShortageHoldTime = 1.5;
// Factor on the probability of a step down that removes more than the excess; an overrun link costs more than
// one with room left.
constexpr double kStepDownOdds = 4;
// Highest number of steps up on a server for one report.
constexpr int kMaxStepsUp = 3;
// Plays step up only where the test passes for a joint step of more than this share of all plays on the link.
constexpr double kMinStepUpShare = 0.06;
// A server is taken for warm where plays of other front ends demand more than this.
constexpr double kWarmDemand = 0.3;

// Number of candidate servers that are probed before a play is placed, and the time for which it then waits.
constexpr std::ptrdiff_t kPlacementProbes = 2;
constexpr double kPlacementProbeWait = 0.02;
// Interval between probes of one server that look for room to step up.
constexpr double kStepUpProbeInterval = 20;
// Interval between probes of one server for any reason.
constexpr double kMinProbeInterval = 3;

// Demand that is assumed before any report; it has the weight of one report in the mean.
constexpr double kPriorDemand = 0.6;
// Number of own plays whose evidence on the mean demand has the weight of one report.
constexpr double kPlaysPerReport = 4;
// Gamma shape parameter of the estimated demand of other front ends; each own play on the link adds one.
constexpr double kEstimateShape = 20;
// Number of own plays on a link whose evidence on others' demand has the weight of the mean over all links.
constexpr double kExpectedPlaysWeight = 6;
// Time constants of the two mean request rates that are compared to detect a surge of requests.
constexpr double kRecentRateTime = 2;
constexpr double kUsualRateTime = 20;

// Time after which a server that is not listed and holds no own plays is forgotten.
constexpr double kForgetDelay = 30;
// Number of changes that are kept for one link.
constexpr std::size_t kMaxChanges = 64;

// pending: waits for placement; abandoned: the viewer left and the allocation has not ended yet. The order
// matters to is_on_server().
enum class PlayState { unused, pending, allocating, playing, abandoned };

struct Play {
  PlayState state = PlayState::unused;
  PlayRequest request;
  int server = -1;
  int rung = 0;
  // Number of allocations so far.
  int allocations = 0;
  // No allocation of the play is started at or after first_frame_deadline; none may last beyond deadline.
  double first_frame_deadline = 0, deadline = 0, started_at = -1e9, stepped_at = -1e9;
  // An ended allocation of the play may have run on its server.
  bool may_have_run = false;
  // Position in Server::plays.
  std::size_t index_at_server = 0;
  // The servers of earlier allocations.
  std::array<int, 8> tried_servers{};
};

// A change of the number of own plays on a link by a set-up, an end or a step.
struct PlayCountChange {
  double time;
  // Product and rung, see group_of().
  int group;
  // Positive where plays were added.
  int plays;
};

// The link of a server or the uplink of a rack.
struct Link {
  // Capacity in kB per second before it is scaled by play_capacity, see capacity(); 0 where it is unknown.
  double nominal_capacity = 0;
  // Plays that the server has room for; 0 for uplinks.
  double play_capacity = 0;
  // The last reported demand over nominal capacity, and the time at which it was measured.
  double reported_demand = 0;
  double reported_at = -1e9;
  // The last demand above 1 that was reported or follows from feedback, and its time.
  double shortage_demand = 0, shortage_at = -1e9;
  // Time of the last step down of own plays because of this link.
  double stepped_down_at = -1e9;
  // Number of own plays by group.
  std::vector<int> own_plays;
  // Changes of own_plays since reported_at.
  std::vector<PlayCountChange> changes;
};

// Exponentially weighted mean of the demands that were reported lately for all links of one sort.
struct MeanDemand {
  double demand = 0, weight = 0, updated_at = 0;
};

// Rate of events per second, as a mean that decays exponentially.
struct DecayingRate {
  double time_constant, mean = 0, updated_at = 0;
  double rate_at(double now) const { return mean * std::exp((updated_at - now) / time_constant); }
  void add_event(double now) {
    mean = rate_at(now) + 1 / time_constant;
    updated_at = now;
  }
};

struct Server {
  ServerEntry entry;
  bool listed = false, known = false, seen_warm = false;
  // The server is an element of avoided_servers_.
  bool in_avoided_list = false;
  Link link;
  // `unanswered` counts the allocations that have neither started nor ended.
  int rack = 0, unanswered = 0;
  // Own plays on the server.
  std::vector<int> plays;
  double avoid_until = -1e9, cold_since = -1e9, last_sent = -1e9, answered_at = -1e9, probed_at = -1e9;
  // The time of the report that plays last stepped up on, and the time at which the server was last listed.
  double stepped_up_at = -2e9, last_listed_at = 0;
  // Failures since the last success.
  int consecutive_failures = 0;
};

// The finalizer of splitmix64. All front ends use the same hash.
std::uint64_t mix_bits(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ x >> 27) * 0x94d049bb133111ebULL;
  return x ^ x >> 31;
}

class ChernoffEngine final : public DecisionEngine {
 public:
  ChernoffEngine(const DecisionSettings &settings, std::uint64_t seed, double now, DecisionHandler &handler)
      : settings_(settings), handler_(handler), random_(static_cast<std::uint32_t>(seed % 2147483646 + 1)),
        now_(now), created_at_(now) {
    read_settings();
    // gather_demand() adds up to one group for each change and two more.
    rate_groups_.reserve(kMaxChanges + 2);
    listed_by_cell_.resize(to_size(cell_count_));
    uplinks_.resize(static_cast<std::size_t>(std::max(1.0, SettingsReader(settings_).number("racks", 1))));
    for (Link &uplink : uplinks_) init_link(uplink);
    update_uplink_capacities();
    if (SettingsReader(settings_).text("list_mode") == "on_request") handler_.request_server_list();
    handler_.set_timer(kReviewInterval, kReviewTimer);
  }

  void set_time(double now) override { now_ = now; }

  void server_list_updated(ListUpdateKind kind, std::span<const ServerEntry> entries) override {
    // The current list stays in force. The random delay spreads the next requests of the front ends.
    if (kind == ListUpdateKind::unavailable) {
      handler_.set_timer(1 + random_fraction(), kRequestListTimer);
      return;
    }
    if (kind != ListUpdateKind::changes) {
      scan_counts_.for_lists += servers_.size();
      for (Server &server : servers_) {
        if (!server.listed) continue;
        set_listed(server, false);
        server.last_listed_at = now_;
        departed_servers_.add(index_of(server));
      }
    }
    for (const ServerEntry &entry : entries) apply_entry(entry);
    update_capacity_scale();
  }

  void play_requested(int index, const PlayRequest &request) override {
    Play &play = init_play(index, request);
    play.deadline =
        std::min(now_ + request.time_left.value_or(time_limits_[to_size(request.product)]), shutdown_at_);
    play.first_frame_deadline =
        now_ + std::min(first_frame_targets_[to_size(request.product)], play.deadline - now_);
    retry_budget_.request_accepted(now_ - request.taken_ago);
    for (DecayingRate *rate : {&recent_request_rate_, &usual_request_rate_}) rate->add_event(now_);
    set_state(index, PlayState::pending);
    if (probe_candidates(index)) {
      awaiting_probes_.push_back(index);
    } else {
      place_play(index);
    }
  }

  void play_handed_over(int index, int server, const PlayRequest &request) override {
    Play &play = init_play(index, request);
    if (server >= static_cast<int>(servers_.size())) servers_.resize(to_size(server) + 1);
    if (!servers_[to_size(server)].known) init_link(servers_[to_size(server)].link);
    play.server = server;
    play.rung = lowest_rung(request.product);
    play.allocations = 1;
    was_handed_plays_ = true;
    set_state(index, PlayState::playing);
  }

  void play_started(int index, int allocation, double delay) override {
    Play &play = plays_[to_size(index)];
    if (play.state != PlayState::allocating || allocation != play.allocations - 1) return;
    mean_set_up_time_ += kSetUpTimeGain * (delay - mean_set_up_time_);
    play.started_at = now_;
    Server &server = servers_[to_size(play.server)];
    server.consecutive_failures = 0;
    server.avoid_until = now_;
    record_answer(server);
    set_state(index, PlayState::playing);
  }

  void allocation_ended(int index, int allocation, Outcome outcome, bool concluded,
                        const LoadReport &report) override {
    Play &play = plays_[to_size(index)];
    if (allocation != play.allocations - 1 || play.state == PlayState::unused ||
        play.state == PlayState::pending)
      return;
    PlayState before = play.state;
    record_outcome(play, outcome);
    apply_report(play.server, report, now_ - kReportDelay);
    if (concluded || before != PlayState::allocating) return release_play(index);
    // With these outcomes the server did not take the allocation; with any other one it may have run.
    if (outcome != Outcome::busy && outcome != Outcome::unreachable && outcome != Outcome::skipped)
      play.may_have_run = true;
    set_state(index, PlayState::pending);
    place_play(index);
  }

  void feedback_received(int index, FeedbackKind kind, double value) override {
    Play &play = plays_[to_size(index)];
    if (play.state == PlayState::unused || play.server < 0) return;
    Server &server = servers_[to_size(play.server)];
    // Feedback at the set-up describes the present; later feedback is feedback_delay_ old.
    bool at_set_up = play.state == PlayState::allocating || now_ - play.started_at < kSetUpFeedbackTime;
    double measured_at = at_set_up ? now_ : now_ - feedback_delay_;
    if (kind == FeedbackKind::rung) {
      change_rung(index, static_cast<int>(value));
    } else if (kind == FeedbackKind::link_demand) {
      record_demand(server.link, value, measured_at);
      detect_warm(server, value);
    } else if (kind == FeedbackKind::uplink_demand) {
      record_demand(uplinks_[to_size(server.rack)], value, measured_at);
    } else if (value < kFullDeliveredShare) {
      // A share below 1 is delivered where the link is overrun by at least the reciprocal.
      server.link.shortage_demand = 1 / std::max(value, kMinDeliveredShare);
      server.link.shortage_at = now_;
    }
  }

  void viewer_left(int index) override {
    Play &play = plays_[to_size(index)];
    if (play.state == PlayState::unused) return;
    if (play.state == PlayState::pending) return release_play(index);
    if (play.state == PlayState::allocating) set_state(index, PlayState::abandoned);
  }

  void probe_answered(int server, Outcome outcome, const LoadReport &report) override {
    if (outcome == Outcome::done) return apply_report(server, report, now_ - kReportDelay);
    // Busy is not a failure: servers refuse probes above a limit.
    if (outcome != Outcome::busy) record_failure(servers_[to_size(server)]);
  }

  void settings_changed(const DecisionSettings &settings) override {
    settings_ = settings;
    read_settings();
    update_uplink_capacities();
    // Recomputes the sums over listed servers with the new settings.
    for (Server &server : servers_) {
      if (!server.known) continue;
      bool listed = server.listed;
      set_listed(server, false);
      update_capacity(server);
      set_listed(server, listed);
    }
    update_capacity_scale();
    // Recomputes the own demand with the new rates.
    own_demand_ = 0;
    for (const Server &server : servers_) {
      for (std::size_t g = 0; g < server.link.own_plays.size(); ++g)
        own_demand_ += server.link.own_plays[g] * group_rate(static_cast<int>(g));
    }
  }

  void set_shutdown_time(double moment) override {
    shutdown_at_ = moment;
    for (Play &play : plays_) {
      play.deadline = std::min(play.deadline, moment);
      play.first_frame_deadline = std::min(play.first_frame_deadline, moment);
    }
  }

  ServerView server_view(int index) const override {
    if (index < 0 || to_size(index) >= servers_.size()) return {};
    const Server &server = servers_[to_size(index)];
    const Link &uplink = uplinks_[to_size(server.rack)];
    auto age = [&](const Link &link) { return link.reported_at < 0 ? -1 : now_ - link.reported_at; };
    return {server.consecutive_failures, static_cast<int>(server.plays.size()),
            now_ < server.avoid_until,   may_be_cold(server),
            server.link.reported_demand, age(server.link),
            uplink.reported_demand,      age(uplink)};
  }

  ServerScanCounts server_scan_counts() const override { return scan_counts_; }

  void timer_expired(int label) override {
    if (label == kRequestListTimer) handler_.request_server_list();
    if (label == kPlacementTimer) {
      plays_to_place_.swap(awaiting_probes_);
      std::sort(plays_to_place_.begin(), plays_to_place_.end());
      for (int p : plays_to_place_) {
        if (plays_[to_size(p)].state == PlayState::pending) place_play(p);
      }
      plays_to_place_.clear();
    }
    if (label == kReviewTimer) review();
  }

 private:
  enum TimerLabel { kRequestListTimer = 1, kReviewTimer, kPlacementTimer };

  // Throws std::invalid_argument where the lists of rungs and products differ in length.
  void read_settings() {
    SettingsReader settings(settings_);
    rung_rates_ = settings.list("rung_rates");
    rung_importance_ = settings.list("rung_importance");
    product_rate_factors_ = settings.list("product_rate_factors");
    product_floors_ = settings.list("product_floors");
    product_tops_ = settings.list("product_tops");
    product_seats_ = settings.list("product_seats");
    kind_capacities_ = settings.list("kind_places");
    front_count_ = std::max(1.0, settings.number("fronts", 1));
    link_per_weight_ = settings.number("link_per_weight", 0);
    cell_count_ = std::max(1, static_cast<int>(settings.number("cells", 1)));
    warm_up_ = settings.number("warm_up", 0);
    may_probe_ = settings.text("load_comes_with") != "none" && settings.number("may_probe", 0) > 0;
    feedback_delay_ = settings.number("note_delay", 1);
    max_allocations_ = static_cast<int>(settings.number("allocations_per_play", 1));
    longest_retry_after_ = settings.number("longest_retry_after", 0);
    slow_start_.fronts = front_count_;
    slow_start_.front_index = static_cast<int>(settings.number("front_index", 0));
    slow_start_.window = settings.number("fall_span", 1);
    slow_start_.set_up_budget = settings.number("fall_multiple", 1) * settings.number("cold_share", 0) *
                                slow_start_.window * kColdBudgetShare;
    slow_start_.warm_up = warm_up_;
    retry_budget_.set_settings({settings.number("further_span", 0), settings.number("further_free", 0),
                                settings.number("further_share", 0)});
    uplinks_reported_ = settings.text("load_fields").find("uplink") != std::string_view::npos;
    product_count_ = static_cast<int>(settings.number("products", 1));
    first_frame_targets_.clear();
    time_limits_.clear();
    product_importance_.clear();
    is_repeatable_.clear();
    importance_per_rate_.clear();
    strictness_.clear();
    for (int p = 0; p < product_count_; ++p) {
      std::string name = "product." + std::to_string(p) + ".";
      first_frame_targets_.push_back(settings.number(name + "first_frame_target", 1));
      time_limits_.push_back(settings.number(name + "time_limit", 4));
      product_importance_.push_back(settings.number(name + "importance", 1));
      is_repeatable_.push_back(settings.text(name + "set_up") != "unsafe" &&
                               settings.text(name + "set_up") != "keyed");
    }
    if (rung_rates_.empty() || rung_importance_.size() != rung_rates_.size() ||
        to_size(product_count_) != product_rate_factors_.size() ||
        product_rate_factors_.size() != product_floors_.size() ||
        product_rate_factors_.size() != product_tops_.size())
      throw std::invalid_argument("the settings' rungs and products do not match");
    compute_strictness();
  }

  double uplink_capacity() const {
    return uplinks_reported_ ? SettingsReader(settings_).number("rack_uplink", 0) : 0;
  }

  // Starts an allocation at the highest rung that passes the test on any candidate, on the server with the
  // most room among those that pass; ties are resolved by the shared hash. Where nothing passes, the play is
  // declined or failed at once.
  void place_play(int index) {
    Play &play = plays_[to_size(index)];
    const PlayRequest &request = play.request;
    int low = lowest_rung(request.product), top = highest_rung(request);
    bool is_first = play.allocations == 0;
    if (!is_first && play.may_have_run && !is_repeatable_[to_size(request.product)])
      return decline_or_fail(index);
    if (play.allocations >= max_allocations_ || (!is_first && !retry_budget_.allows(now_)))
      return decline_or_fail(index);
    if (now_ >= play.first_frame_deadline || play.deadline - now_ < kMinTimeLeft)
      return decline_or_fail(index);
    if (!has_free_seat(request)) return decline_or_fail(index);

    find_candidates(play);
    int best = -1, best_rung = -1;
    double best_room = 0;
    for (int rung = top; rung >= low && best < 0; --rung) {
      for (int s : candidates_) {
        int group = request.product * rung_count() + rung;
        gather_demand(servers_[to_size(s)].link);
        double room = capacity(servers_[to_size(s)].link) - gathered_demand_;
        bool has_more_room =
            best < 0 || room > best_room || (room == best_room && hash(request, s) > hash(request, best));
        if (has_more_room && fits(servers_[to_size(s)], group, group_rate(group))) {
          best = s;
          best_rung = rung;
          best_room = room;
        }
      }
    }
    if (best < 0) return decline_or_fail(index);

    if (!is_first) retry_budget_.retry_made(now_);
    play.server = best;
    play.rung = best_rung;
    play.tried_servers[to_size(play.allocations) % play.tried_servers.size()] = best;
    ++play.allocations;
    servers_[to_size(best)].last_sent = now_;
    handler_.set_rung(index, best_rung);
    handler_.start_allocation(index, best, allocation_timeout(play));
    set_state(index, PlayState::allocating);
  }

  // Probes a few candidates without a fresh report before a first placement, where probes return load.
  // Without it, a front end that gets reports of few servers would choose among the others at random. An
  // answer takes a moment, while a bad choice costs for the whole length of the play; this would do harm
  // where probes are slow or expensive. Returns true if the play now waits, which kPlacementTimer ends.
  bool probe_candidates(int index) {
    Play &play = plays_[to_size(index)];
    // Candidates of a repeated request were probed for the earlier one.
    if (!may_probe_ || play.request.is_repeated) return false;
    find_candidates(play);
    std::erase_if(candidates_,
                  [&](int s) { return now_ - servers_[to_size(s)].link.reported_at <= kFreshReportAge; });
    if (candidates_.empty()) return false;
    auto probed_end =
        candidates_.begin() + std::min(kPlacementProbes, static_cast<std::ptrdiff_t>(candidates_.size()));
    auto by_hash = [&](int a, int b) { return hash(play.request, a) > hash(play.request, b); };
    std::partial_sort(candidates_.begin(), probed_end, candidates_.end(), by_hash);
    for (auto s = candidates_.begin(); s != probed_end; ++s) probe_if_due(servers_[to_size(*s)]);
    handler_.set_timer(kPlacementProbeWait, kPlacementTimer);
    return true;
  }

  // Called every kReviewInterval: steps running plays and forgets servers that left. It looks only at servers
  // with own plays and at servers that are known and not listed.
  void review() {
    SortedIndices racks;
    for (int s : servers_with_plays_) racks.add(servers_[to_size(s)].rack);
    for (int rack : racks) step_plays_down(uplinks_[to_size(rack)], servers_with_plays_at(rack));
    for (int s : servers_with_plays_) {
      ++scan_counts_.for_reviews;
      Server &server = servers_[to_size(s)];
      step_plays_down(server.link, std::span(&s, 1));
      step_plays_up(server);
    }
    forget_departed();
    handler_.set_timer(kReviewInterval, kReviewTimer);
  }

  // The servers of the rack that have own plays; valid until the next call.
  std::span<const int> servers_with_plays_at(int rack) {
    rack_servers_.clear();
    for (int s : servers_with_plays_) {
      ++scan_counts_.for_reviews;
      if (servers_[to_size(s)].rack == rack) rack_servers_.push_back(s);
    }
    return rack_servers_;
  }

  // Forgets servers without own plays that have not been listed for longer than kForgetDelay.
  void forget_departed() {
    servers_to_forget_.clear();
    for (int s : departed_servers_) {
      ++scan_counts_.for_reviews;
      const Server &server = servers_[to_size(s)];
      if (server.plays.empty() && now_ - server.last_listed_at > kForgetDelay)
        servers_to_forget_.push_back(s);
    }
    for (int s : servers_to_forget_) {
      departed_servers_.remove(s);
      handler_.forget_server(s);
      Server &server = servers_[to_size(s)];
      bool was_in_avoided_list = server.in_avoided_list;
      server = Server{};
      server.in_avoided_list = was_in_avoided_list;
    }
  }

  // Steps running plays down while the link is overrun. This front end removes its part of the excess, in
  // proportion to its part of the demand.
  void step_plays_down(Link &link, std::span<const int> server_indices) {
    // Where the capacity is unknown, a reported demand cannot be converted to a rate.
    if (link.nominal_capacity <= 0) return;
    if (now_ - std::max(link.reported_at, link.shortage_at) > kFreshReportAge) return;
    // Waits until reports include the previous steps.
    if (now_ - link.stepped_down_at < feedback_delay_ + kShortageHoldTime) return;
    double own = gather_demand(link, false);
    double own_excess = (gathered_demand_ - capacity(link) * kStepDownThreshold) *
                        std::min(1.0, own / std::max(gathered_demand_, 1.0));
    while (own_excess > 0) {
      int play = pick_play_to_step(server_indices, -1);
      if (play < 0) return;
      int group = group_of(plays_[to_size(play)]);
      double rate_reduction = group_rate(group) - group_rate(group - 1);
      link.stepped_down_at = now_;
      // An excess that is less than one step is removed with a probability in proportion to it.
      if (random_fraction() * rate_reduction > kStepDownOdds * own_excess) return;
      own_excess -= rate_reduction;
      step_play(play, -1);
    }
  }

  // Steps a few plays up where the link has room, once for each report. All front ends with plays on the link
  // get the same report, so each steps with the highest probability with which all plays on the link could
  // step up together and still pass the test.
  void step_plays_up(Server &server) {
    // An old report is renewed by a probe where probes are allowed. Where there was never a report, plays
    // step up once, on the estimated demand.
    const int own_index = index_of(server);
    std::span<const int> server_indices(&own_index, 1);
    bool is_old = now_ - server.link.reported_at > kFreshReportAge;
    if (is_old && may_probe_ && now_ - server.probed_at > kStepUpProbeInterval &&
        pick_play_to_step(server_indices, 1) >= 0)
      probe_if_due(server);
    if ((is_old && server.link.reported_at > 0) || server.link.reported_at <= server.stepped_up_at) return;
    server.stepped_up_at = server.link.reported_at;
    for (int steps = 0; steps < kMaxStepsUp; ++steps) {
      int index = pick_play_to_step(server_indices, 1);
      if (index < 0) return;
      int low = plays_[to_size(index)].rung, rung = low;
      int from_group = group_of(plays_[to_size(index)]);
      double share = 2;
      while (rung == low && (share /= 2) > kMinStepUpShare) {
        // A step costs the same over any number of rungs, so the highest rung is tried first.
        rung = highest_rung(plays_[to_size(index)].request);
        while (rung > low &&
               !fits(server, from_group + rung - low,
                     group_rate(from_group + rung - low) - group_rate(from_group), kStepUpStrictness, share))
          --rung;
      }
      if (rung == low || random_fraction() >= share) return;
      step_play(index, rung - low);
    }
  }

  // Returns the running own play on these servers whose step gains the most importance for its rate (up) or
  // loses the least (down); among equals the one with the lowest index; -1 where there is none. `delta` is 1
  // or -1.
  int pick_play_to_step(std::span<const int> server_indices, int delta) {
    int best = -1;
    double best_gain = 0;
    for (int s : server_indices) {
      ++scan_counts_.for_reviews;
      const Server &server = servers_[to_size(s)];
      for (int p : server.plays) {
        const Play &play = plays_[to_size(p)];
        if (play.state != PlayState::playing || now_ - play.stepped_at < kStepCooldown) continue;
        int rung = play.rung + delta, product = play.request.product;
        if (rung < lowest_rung(product) || rung > highest_rung(play.request)) continue;
        double gain = importance_per_rate_[to_size(group_of(play) + (delta > 0 ? 1 : 0))] * delta;
        if (best < 0 || gain > best_gain || (gain == best_gain && p < best)) {
          best = p;
          best_gain = gain;
        }
      }
    }
    return best;
  }

  // Changes the rung of a running play by `delta` and sends the change.
  void step_play(int index, int delta) {
    Play &play = plays_[to_size(index)];
    play.stepped_at = now_;
    change_rung(index, play.rung + delta);
    handler_.set_rung(index, play.rung);
  }

  // Answers a play for which no further allocation is made: fails it where it may have run and must not be
  // repeated, and otherwise declines it, with a random retry time that spreads the viewers.
  void decline_or_fail(int index) {
    Play &play = plays_[to_size(index)];
    if (play.may_have_run && !is_repeatable_[to_size(play.request.product)]) {
      handler_.fail_play(index);
    } else {
      handler_.decline_play(index, longest_retry_after_ * (0.5 + 0.5 * random_fraction()));
    }
    release_play(index);
  }

  // Ends a play; its index may be reused.
  void release_play(int index) {
    set_state(index, PlayState::unused);
    handler_.forget_play(index);
  }

  // Changes the state of a play. All changes go through here, so that the counts of plays stay consistent.
  void set_state(int index, PlayState next) {
    Play &play = plays_[to_size(index)];
    bool was_on_server = is_on_server(play.state), is_now_on_server = is_on_server(next);
    if (was_on_server != is_now_on_server && play.server >= 0) {
      count_plays(play, is_now_on_server ? 1 : -1);
      taken_seats(play.request) += is_now_on_server ? 1 : -1;
      std::vector<int> &server_plays = servers_[to_size(play.server)].plays;
      if (is_now_on_server) {
        servers_with_plays_.add(play.server);
        play.index_at_server = server_plays.size();
        server_plays.push_back(index);
      } else {
        // Removes the play by moving the last one to its position.
        plays_[to_size(server_plays.back())].index_at_server = play.index_at_server;
        server_plays[play.index_at_server] = server_plays.back();
        server_plays.pop_back();
        if (server_plays.empty()) servers_with_plays_.remove(play.server);
      }
    }
    if (play.server >= 0)
      servers_[to_size(play.server)].unanswered +=
          (next == PlayState::allocating) - (play.state == PlayState::allocating);
    play.state = next;
  }

  static bool is_on_server(PlayState state) { return state >= PlayState::allocating; }

  // Records the rung of a play.
  void change_rung(int index, int rung) {
    Play &play = plays_[to_size(index)];
    if (rung == play.rung || rung < 0 || rung >= rung_count()) return;
    count_plays(play, -1);
    play.rung = rung;
    count_plays(play, 1);
  }

  // The admission test and the demand on a link.

  // Returns whether a play of the group with this rate may be added to the server's link and its rack's
  // uplink. `strictness` is a further factor on the logarithm of the tolerance. With a share above 0 the test
  // is made as if that share of all plays on the link, of all front ends, made the same step.
  bool fits(const Server &server, int group, double rate, double strictness = 1, double share = 0) {
    return passes_bound(server.link, group, rate, strictness, share) &&
           passes_bound(uplinks_[to_size(server.rack)], group, rate, strictness, share);
  }

  // The test of fits() on one link.
  bool passes_bound(const Link &link, int group, double rate, double strictness = 1, double share = 0) {
    // A link of unknown capacity does not restrict.
    if (link.nominal_capacity <= 0) return true;
    double own = gather_demand(link);
    rate_groups_.push_back(
        {std::max(1.0, share * gathered_demand_ / std::max(own, 1.0)), rate, kRateVariation});
    return log_overrun_bound(rate_groups_, capacity(link)) <=
           std::log(kOverrunTolerance) * strictness_[to_size(group)] * strictness;
  }

  // Fills rate_groups_ and gathered_demand_ with the demand on a link: the reported or estimated demand, plus
  // the changes by this front end since, and at least the demand of the own plays. Returns the latter. A
  // conservative result also contains remembered shortages and the expected additions of other front ends.
  double gather_demand(const Link &link, bool conservative = true) {
    rate_groups_.clear();
    double own = 0, added = 0, plays = 0;
    for (int g = 0; g < static_cast<int>(link.own_plays.size()); ++g) {
      own += link.own_plays[to_size(g)] * group_rate(g);
      plays += link.own_plays[to_size(g)];
    }
    bool has_report = now_ - link.reported_at < kReportLifetime;
    // A link that was overrun may soon be so again, for example by another program that sends at intervals.
    // The remembered demand decays. This does not apply to uplinks.
    bool counts_shortage = !is_uplink(link) && (conservative || now_ - link.shortage_at < kShortageHoldTime);
    double remembered_demand = counts_shortage ? link.shortage_demand : 0;
    if (conservative) remembered_demand *= std::exp((link.shortage_at - now_) / kShortageDecayTime);
    double estimate = has_report ? 0 : estimate_others_demand(link, plays);
    double base = std::max(has_report ? link.reported_demand * capacity(link) : own + estimate,
                           remembered_demand * capacity(link));
    if (has_report) {
      double adding_fronts = conservative ? fronts_adding_plays(link) : 1;
      for (const PlayCountChange &change : link.changes) {
        if (change.plays > 0) {
          rate_groups_.push_back({change.plays * adding_fronts, group_rate(change.group), kRateVariation});
          added += change.plays * adding_fronts * group_rate(change.group);
        } else {
          base += change.plays * group_rate(change.group);
        }
      }
    }
    base = std::max({base, own - added, 0.0}) + (has_report && conservative ? surge_demand(link) : 0);
    gathered_demand_ = base + added;
    if (estimate > 0) {
      rate_groups_.push_back({1, estimate, 1 / std::sqrt(kEstimateShape + plays)});
      base -= estimate;
    }
    if (double middle = group_rate(rung_count() / 2); base > 0)
      rate_groups_.push_back({base / middle, middle, kRateVariation});
    return own;
  }

  // Returns the rate that other front ends are expected to have added since the last report during a surge of
  // requests. Without it, all front ends would admit the surge on the same old report. A request rate far
  // above the usual one here is taken as a sign of the same at every front end; this would do harm where a
  // surge comes to one front end only.
  double surge_demand(const Link &link) const {
    double excess_rate = recent_request_rate_.rate_at(now_) - 2 * usual_request_rate_.rate_at(now_) -
                         1 / recent_request_rate_.time_constant;
    double total_capacity = is_uplink(link) ? total_uplink_capacity_ : total_link_capacity_;
    if (excess_rate <= 0 || total_capacity <= 0 || own_play_count_ <= 0) return 0;
    double age = std::clamp(now_ - link.reported_at, 0.0, kFreshReportAge);
    return excess_rate * (front_count_ - 1) * age * capacity(link) / total_capacity * own_demand_ /
           own_play_count_;
  }

  // Returns the number of front ends, with this one, that are assumed to add as many plays to a reported
  // uplink as this one since the same report. Own set-ups are evidence of others' only as far as requests
  // usually come often enough between two reports for the number to be more than chance.
  double fronts_adding_plays(const Link &link) const {
    if (!uplinks_reported_ || !is_uplink(link)) return 1;
    double usual_requests =
        usual_request_rate_.rate_at(now_) * (now_ - link.reported_at) / static_cast<double>(uplinks_.size());
    return 1 + (front_count_ - 1) * usual_requests / (usual_requests + 1);
  }

  // Makes the tolerance stricter for a rung that gains less importance for its rate than the best rung of any
  // product.
  void compute_strictness() {
    for (int g = 0; g < product_count_ * rung_count(); ++g) {
      int r = g % rung_count();
      double gain = rung_importance_[to_size(r)] - (r > 0 ? rung_importance_[to_size(r - 1)] : 0);
      importance_per_rate_.push_back(gain * product_importance_[to_size(g / rung_count())] /
                                     (group_rate(g) - (r > 0 ? group_rate(g - 1) : 0)));
    }
    // A rung counts as much as the best one above it, since it is the way to that one.
    for (int g = product_count_ * rung_count() - 1; g >= 0; --g) {
      if (g % rung_count() < rung_count() - 1)
        importance_per_rate_[to_size(g)] =
            std::max(importance_per_rate_[to_size(g)], importance_per_rate_[to_size(g + 1)]);
    }
    double best = *std::max_element(importance_per_rate_.begin(), importance_per_rate_.end());
    for (double value : importance_per_rate_)
      strictness_.push_back(std::pow(best / value, kStrictnessExponent));
  }

  // Adds a server or updates it from an entry of a list. A later start than the known one makes it cold and
  // ends its avoidance.
  void apply_entry(const ServerEntry &entry) {
    ++scan_counts_.for_lists;
    if (entry.server >= static_cast<int>(servers_.size())) {
      servers_.resize(to_size(entry.server) + 1);
      candidates_.reserve(servers_.size());
    }
    Server &server = servers_[to_size(entry.server)];
    if (entry.started_at > 0 && entry.started_at > server.entry.started_at) {
      server.cold_since = std::max(server.cold_since, entry.started_at);
      if (server.known) {
        server.consecutive_failures = 0;
        server.avoid_until = now_;
      }
    }
    bool was_listed = server.listed, is_new = !server.known;
    // Subtracts the server's previous values from the sums.
    set_listed(server, false);
    server.entry = entry;
    if (!server.known) init_link(server.link);
    server.known = true;
    update_capacity(server);
    set_listed(server, entry.status == ServerStatus::active);
    if (server.listed) {
      departed_servers_.remove(entry.server);
    } else {
      departed_servers_.add(entry.server);
      if (was_listed || is_new) server.last_listed_at = now_;
    }
    set_rack(server, entry.cell % static_cast<int>(uplinks_.size()));
  }

  // Adds a server to the listed ones or removes it. All changes go through here, so that the sums stay
  // consistent.
  void set_listed(Server &server, bool listed) {
    if (server.listed == listed) return;
    int sign = listed ? 1 : -1;
    server.listed = listed;
    listed_count_ += sign;
    std::vector<int> &cell = listed_by_cell_[to_size(wrap_cell(server.entry.cell))];
    if (listed)
      cell.push_back(index_of(server));
    else
      std::erase(cell, index_of(server));
    listed_play_capacity_ += sign * server.link.play_capacity;
    listed_capacity_ += sign * server.link.nominal_capacity;
    capacity_by_plays_ += sign * server.link.nominal_capacity * server.link.play_capacity;
  }

  void set_rack(Server &server, int rack) {
    if (rack == server.rack) return;
    // Moves the counts of own plays from the old uplink to the new one.
    for (int g = 0; g < product_count_ * rung_count(); ++g) {
      uplinks_[to_size(server.rack)].own_plays[to_size(g)] -= server.link.own_plays[to_size(g)];
      uplinks_[to_size(rack)].own_plays[to_size(g)] += server.link.own_plays[to_size(g)];
    }
    server.rack = rack;
  }

  // Where weights have no meaning, the capacity of a link is assumed to be in proportion to the number of
  // plays that the server has room for.
  void update_capacity_scale() {
    scales_by_play_capacity_ =
        SettingsReader(settings_).text("weight_meaning") == "none" && listed_play_capacity_ > 0;
    total_link_capacity_ = static_cast<double>(scales_by_play_capacity_ ? capacity_by_plays_ * listed_count_ /
                                                                              listed_play_capacity_
                                                                        : listed_capacity_);
  }

  // The capacity of a link in kB per second; it is scaled where weights have no meaning.
  double capacity(const Link &link) const {
    return scales_by_play_capacity_ && !is_uplink(link)
               ? link.nominal_capacity *
                     static_cast<double>(link.play_capacity * listed_count_ / listed_play_capacity_)
               : link.nominal_capacity;
  }

  void update_capacity(Server &server) {
    server.link.nominal_capacity = server.entry.weight * link_per_weight_;
    server.link.play_capacity = play_capacity_of(server);
  }

  void update_uplink_capacities() {
    total_uplink_capacity_ = 0;
    for (Link &uplink : uplinks_) {
      uplink.nominal_capacity = uplink_capacity();
      total_uplink_capacity_ += uplink.nominal_capacity;
    }
  }

  double play_capacity_of(const Server &server) const {
    return server.entry.kind >= 0 && to_size(server.entry.kind) < kind_capacities_.size()
               ? kind_capacities_[to_size(server.entry.kind)]
               : 0;
  }

  // Estimates the rate that other front ends' plays demand of a link without a recent report. The demand is
  // assumed to be the mean of three sources: links with recent reports, the own demand times the number of
  // front ends, and kPriorDemand. More own plays on the link than expected from its capacity are a sign of
  // more plays of others. `plays` is the number of own plays on the link.
  double estimate_others_demand(const Link &link, double plays) const {
    bool uplink = is_uplink(link);
    const MeanDemand &mean = mean_reported_[uplink];
    double total_capacity = uplink ? total_uplink_capacity_ : total_link_capacity_;
    if (total_capacity <= 0) return 0;
    double report_weight = mean.weight * std::exp((mean.updated_at - now_) / kReportLifetime);
    double own_weight = own_play_count_ / kPlaysPerReport;
    double demand = (report_weight * mean.demand + own_weight * own_demand_ * front_count_ / total_capacity +
                     kPriorDemand) /
                    (report_weight + own_weight + 1);
    double expected_plays = own_play_count_ * capacity(link) / total_capacity;
    return (front_count_ - 1) / front_count_ * demand * capacity(link) * (kExpectedPlaysWeight + plays) /
           (kExpectedPlaysWeight + expected_plays);
  }

  bool is_uplink(const Link &link) const {
    return &link >= uplinks_.data() && &link < uplinks_.data() + uplinks_.size();
  }

  // Stores a reported demand, unless a newer one is stored, and drops the changes that it includes.
  void record_demand(Link &link, double demand, double measured_at) {
    if (measured_at < link.reported_at) return;
    link.reported_demand = demand;
    MeanDemand &mean = mean_reported_[is_uplink(link)];
    mean.weight = 1 + mean.weight * std::exp((mean.updated_at - now_) / kReportLifetime);
    mean.demand += (demand - mean.demand) / mean.weight;
    mean.updated_at = now_;
    if (demand > 1) {
      link.shortage_demand = demand;
      link.shortage_at = measured_at;
    }
    link.reported_at = measured_at;
    std::erase_if(link.changes, [&](const PlayCountChange &change) { return change.time <= measured_at; });
  }

  // Records the load that a server reported of its link and its rack's uplink.
  void apply_report(int index, const LoadReport &report, double measured_at) {
    if (index < 0) return;
    Server &server = servers_[to_size(index)];
    double demand = report.link_demand ? *report.link_demand : report.link_share.value_or(0);
    detect_warm(server, demand);
    if (report.link_demand) {
      record_demand(server.link, *report.link_demand, measured_at);
    } else if (report.link_share) {
      // The share is at most 1; a value of 1 only means that the demand is at least 1.
      record_demand(server.link,
                    *report.link_share < kFullLinkShare ? *report.link_share
                                                        : std::max(1.0, server.link.reported_demand),
                    measured_at);
    }
    // The uplink of the rack carries what the link carries. An uplink demand of 0 beside a demand on the link
    // therefore means that the server has not read it yet, and it is ignored.
    bool is_unread = report.uplink_demand && *report.uplink_demand <= 0 && demand > 0;
    if (report.uplink_demand && !is_unread)
      record_demand(uplinks_[to_size(server.rack)], *report.uplink_demand, measured_at);
  }

  // Adds `plays` (1 or -1) plays like this one to the counts of its server's link and its rack's uplink.
  void count_plays(const Play &play, int plays) {
    int group = group_of(play);
    own_demand_ += plays * group_rate(group);
    own_play_count_ += plays;
    Server &server = servers_[to_size(play.server)];
    for (Link *link : {&server.link, &uplinks_[to_size(server.rack)]}) {
      link->own_plays[to_size(group)] += plays;
      if (link->changes.size() >= kMaxChanges) link->changes.erase(link->changes.begin());
      link->changes.push_back({now_, group, plays});
    }
  }

  // Choice of candidates and avoidance of servers.

  // Fills candidates_ with the servers that hold the title and may get the play. Where two thirds of the
  // listed servers or more are avoided, avoidance is ignored: a symptom of most servers has its cause in the
  // front end or the network rather than in the servers.
  void find_candidates(const Play &play) {
    bool respect_avoidance = count_avoided() * 3 < listed_count_ * 2 || listed_count_ < 3;
    candidates_.clear();
    int first_cell = wrap_cell(play.request.first_cell);
    for (int c = 0; c < std::min(play.request.cell_count, cell_count_); ++c) {
      for (int s : listed_by_cell_[to_size((first_cell + c) % cell_count_)]) {
        ++scan_counts_.for_placements;
        if (is_candidate(s, play, respect_avoidance)) candidates_.push_back(s);
      }
    }
  }

  int wrap_cell(int cell) const { return (cell % cell_count_ + cell_count_) % cell_count_; }

  // Returns the number of listed servers that are avoided, and removes servers whose avoidance has ended.
  int count_avoided() {
    std::erase_if(avoided_servers_, [&](int s) {
      ++scan_counts_.for_placements;
      Server &server = servers_[to_size(s)];
      if (now_ < server.avoid_until) return false;
      server.in_avoided_list = false;
      return true;
    });
    return static_cast<int>(
        std::ranges::count_if(avoided_servers_, [&](int s) { return servers_[to_size(s)].listed; }));
  }

  void avoid_server(Server &server, double until) {
    if (!std::exchange(server.in_avoided_list, true)) avoided_servers_.push_back(index_of(server));
    server.avoid_until = until;
  }

  bool is_candidate(int s, const Play &play, bool respect_avoidance) const {
    const Server &server = servers_[to_size(s)];
    if (!server.listed) return false;
    // After a failure a server gets one play at a time until a set-up succeeds.
    if (respect_avoidance &&
        (now_ < server.avoid_until || (server.consecutive_failures > 0 && server.unanswered > 0)))
      return false;
    for (int i = 0; i < std::min(play.allocations, static_cast<int>(play.tried_servers.size())); ++i) {
      if (play.tried_servers[to_size(i)] == s) return false;
    }
    return slow_start_permits(server);
  }

  // Marks a server as warm where other front ends' plays demand much of it: at the pace of a cold server,
  // that demand takes most of the warm-up time to build up.
  void detect_warm(Server &server, double demand) {
    double own = gather_demand(server.link);
    if (demand * capacity(server.link) - own > kWarmDemand * capacity(server.link)) server.seen_warm = true;
  }

  // Returns whether slow start allows a set-up on the server now.
  bool slow_start_permits(const Server &server) const {
    if (!may_be_cold(server)) return true;
    SlowStartState state;
    state.capacity = play_capacity_of(server);
    state.known_cold = now_ - server.cold_since < warm_up_;
    state.first_set_up_pending =
        server.answered_at < server.cold_since && server.last_sent >= server.cold_since;
    state.idle_time = now_ - server.last_sent;
    // A front end that has restarted may have sent set-ups until it went down.
    if (state.known_cold && !was_handed_plays_)
      state.idle_time = std::min(state.idle_time, now_ - created_at_);
    return slow_start_allows(slow_start_, state, now_);
  }

  // Records that a set-up on the server was answered. The first set-up after a server's start waits for a new
  // connection, which may open late, so that later set-ups would arrive together with it. It is therefore
  // sent alone, and the slow-start interval counts from its answer or end. A slow first set-up delays the
  // others.
  void record_answer(Server &server) {
    if (server.answered_at < server.cold_since)
      server.last_sent = std::max(server.last_sent, now_ - mean_set_up_time_);
    server.answered_at = now_;
  }

  // A front end that has restarted knows nothing of earlier starts of servers: each server may be cold until
  // a high demand is seen on it or the warm-up time has passed.
  bool may_be_cold(const Server &server) const {
    return now_ - server.cold_since < warm_up_ ||
           (!was_handed_plays_ && !server.seen_warm && now_ - created_at_ < warm_up_);
  }

  // Records on the server how an allocation of the play ended, before the play's state changes.
  void record_outcome(const Play &play, Outcome outcome) {
    Server &server = servers_[to_size(play.server)];
    bool is_lost = outcome == Outcome::reset || outcome == Outcome::unreachable;
    if (is_lost || (outcome == Outcome::timed_out && play.state == PlayState::allocating)) {
      // A server that returns after this may have been restarted.
      server.cold_since = now_;
      if (now_ >= server.avoid_until) record_failure(server);
      return;
    }
    if (play.state != PlayState::playing) record_answer(server);
    if (outcome == Outcome::busy) avoid_server(server, std::max(server.avoid_until, now_ + kMinAvoidTime));
  }

  // Avoids the server for a time that doubles with each further failure.
  void record_failure(Server &server) {
    avoid_server(server,
                 now_ + std::min(kMaxAvoidTime, kMinAvoidTime * std::exp2(server.consecutive_failures)));
    ++server.consecutive_failures;
  }

  // Seats, time limits of allocations, and probes.

  bool has_free_seat(const PlayRequest &request) {
    double seats = request.product < static_cast<int>(product_seats_.size())
                       ? product_seats_[to_size(request.product)]
                       : 0;
    return seats <= 0 || taken_seats(request) < static_cast<int>(seats);
  }

  // The number of seats that plays of the request's title and product hold.
  int &taken_seats(const PlayRequest &request) {
    std::size_t seat_index = to_size(request.title) * to_size(product_count_) + to_size(request.product);
    if (seat_index >= seats_taken_.size())
      seats_taken_.resize(std::max(seat_index + 1, 2 * seats_taken_.size()));
    return seats_taken_[seat_index];
  }

  // Returns the time limit in seconds of the play's next allocation. It leaves time for another allocation
  // before the first-frame target, unless this is the last one.
  double allocation_timeout(const Play &play) const {
    double limit = play.deadline - now_;
    if (!is_repeatable_[to_size(play.request.product)] || play.allocations >= max_allocations_) return limit;
    double target = play.first_frame_deadline - now_;
    return std::min(limit, std::max(target / 2, std::min(target, 3 * mean_set_up_time_)));
  }

  // Probes the server, unless probes are not allowed or the last one was sent less than kMinProbeInterval
  // ago.
  void probe_if_due(Server &server) {
    if (!may_probe_ || now_ - server.probed_at < kMinProbeInterval) return;
    server.probed_at = now_;
    handler_.probe_server(index_of(server));
  }

  int index_of(const Server &server) const { return static_cast<int>(&server - servers_.data()); }
  static std::size_t to_size(int i) { return static_cast<std::size_t>(i); }
  int highest_rung(const PlayRequest &request) const {
    return std::min(
        {request.max_rung, static_cast<int>(product_tops_[to_size(request.product)]), rung_count() - 1});
  }
  // A group is a product at a rung; groups are numbered by product, then by rung.
  int group_of(const Play &play) const { return play.request.product * rung_count() + play.rung; }
  int rung_count() const { return static_cast<int>(rung_rates_.size()); }
  int lowest_rung(int product) const { return static_cast<int>(product_floors_[to_size(product)]); }
  double rate_of(int product, int rung) const {
    return rung_rates_[to_size(rung)] * product_rate_factors_[to_size(product)];
  }
  double group_rate(int group) const { return rate_of(group / rung_count(), group % rung_count()); }
  // A random number from 0 to below 1; 2147483646 is the largest value of the generator.
  double random_fraction() { return static_cast<double>(random_() - 1) / 2147483646.0; }
  // The rendezvous hash of a viewer and a server.
  std::uint64_t hash(const PlayRequest &request, int s) const {
    return mix_bits(request.viewer ^ mix_bits(servers_[to_size(s)].entry.stable_id));
  }

  // Resets the play with this index, for a new request.
  Play &init_play(int index, const PlayRequest &request) {
    if (to_size(index) >= plays_.size()) plays_.resize(to_size(index) + 1);
    Play &play = plays_[to_size(index)];
    play = Play{};
    play.request = request;
    return play;
  }

  void init_link(Link &link) {
    link.own_plays.assign(to_size(product_count_ * rung_count()), 0);
    link.changes.reserve(kMaxChanges);
  }

  DecisionSettings settings_;
  DecisionHandler &handler_;
  std::minstd_rand random_;
  double now_, created_at_, shutdown_at_ = INFINITY;

  // Settings: by rung, by product or by kind of server.
  std::vector<double> rung_rates_, rung_importance_, product_rate_factors_, product_floors_, product_tops_,
      product_seats_, kind_capacities_, first_frame_targets_, time_limits_;
  std::vector<double> product_importance_;
  // Importance gained per additional kB per second, by group.
  std::vector<double> importance_per_rate_;
  // Factor on the logarithm of the tolerance, by group.
  std::vector<double> strictness_;
  // A set-up of the product may be repeated after an allocation that may have run; by product.
  std::vector<bool> is_repeatable_;
  double longest_retry_after_ = 0;
  SlowStartSettings slow_start_;
  RetryBudget retry_budget_;
  double front_count_ = 1, warm_up_ = 0, feedback_delay_ = 1, mean_set_up_time_ = kInitialSetUpTime;
  int cell_count_ = 1, product_count_ = 1, max_allocations_ = 1;
  // was_handed_plays_: this front end took over plays, so that it did not restart without knowledge.
  bool uplinks_reported_ = false, may_probe_ = false, was_handed_plays_ = false;

  ServerScanCounts scan_counts_;
  std::vector<Server> servers_;
  // By rack.
  std::vector<Link> uplinks_;
  std::vector<Play> plays_;
  // Servers with own plays, and known servers that are not listed.
  SortedIndices servers_with_plays_, departed_servers_;
  // Buffers of review().
  std::vector<int> rack_servers_, servers_to_forget_;
  // Listed servers by cell.
  std::vector<std::vector<int>> listed_by_cell_;
  // All avoided servers, and some whose avoidance has ended.
  std::vector<int> avoided_servers_;
  // Servers that the play being placed may be sent to.
  std::vector<int> candidates_;
  // Seats taken by title and product; plays that wait for probes; plays whose wait has just ended.
  std::vector<int> seats_taken_, awaiting_probes_, plays_to_place_;
  // Result of gather_demand().
  std::vector<RateGroup> rate_groups_;
  // gathered_demand_ is the sum over rate_groups_; own_demand_ and own_play_count_ are sums over all own
  // plays. Rates and capacities are kB per second.
  double gathered_demand_ = 0, own_demand_ = 0, own_play_count_ = 0, total_link_capacity_ = 0,
         total_uplink_capacity_ = 0, link_per_weight_ = 0;
  // Sums over listed servers: of capacities, of the products of capacity and play capacity, and of play
  // capacities.
  long double listed_capacity_ = 0, capacity_by_plays_ = 0, listed_play_capacity_ = 0;
  int listed_count_ = 0;
  // The capacities of links are scaled by the servers' play capacities, see capacity().
  bool scales_by_play_capacity_ = false;
  // Of server links and of uplinks.
  std::array<MeanDemand, 2> mean_reported_;
  DecayingRate recent_request_rate_{kRecentRateTime}, usual_request_rate_{kUsualRateTime};
};

} // namespace

std::unique_ptr<DecisionEngine> make_decision_engine(const DecisionSettings &settings, std::uint64_t seed,
                                                     double now, DecisionHandler &handler) {
  return std::make_unique<ChernoffEngine>(settings, seed, now, handler);
}

} // namespace snowshore
