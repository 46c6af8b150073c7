// Every decision of a front: which server a play is set up on, at which rung, or that it is declined.
// Called through policy.h: clock() first, then one call for each thing that happened; answers go out through
// Answers during the call. place() is the ordinary path of a play, top to bottom; the rest feeds it.
#include "decision/policy.h"
#include "decision/given_reader.h"
#include "decision/overrun_bound.h"
#include "decision/retry_budget.h"
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

// ---- Values that are ours to tune; everything else comes from the settings or is observed.
constexpr double kTolerance = 0.2;  // of a link's overrunning; design.md says why not the paper's one percent
constexpr double kVariation = 0.25; // variation coefficient of a play's rate
constexpr double kThrift = 1.2;     // how much tighter the test is for a rung that earns less for its rate
constexpr double kNewsLife = 10;    // a told use older than this no longer counts
constexpr double kReportAge = 0.4;  // how far behind a load report is held to be
constexpr double kFirstAvoid = 1;   // after one failure a server is left alone so long, doubling
constexpr double kLongestAvoid = 8; // up to this
constexpr double kColdSafety = 0.9; // part of a cold server's budget that fronts use
constexpr double kSetUpGuess = 0.15; // usual set-up time before any was seen
constexpr double kLeastSetUp = 0.1;  // no allocation starts with less time left than this
constexpr double kReviewEvery = 0.5; // plays under way are looked at so often
constexpr double kFreshNews = 5;     // and only where the news of a link is no older than this
constexpr double kShortFrom = 1.1;   // demand over capacity from which plays are stepped down
constexpr double kStepRest = 5;      // a play is left at its rung so long after a step
constexpr double kShortFades = 8;    // the memory of a short link fades over so long
constexpr double kRaise = 2;         // how much tighter the test is for a step up
constexpr double kShortHolds = 1.5;  // a note of short delivery holds so long, whatever reports say
constexpr double kOvershoot = 4;     // a short link costs more than one with room: the odds of a step down
constexpr int kRaises = 3;           // steps up at most for one piece of news
constexpr double kLeastPart = 0.06;  // a lesser part of all plays does not step up
constexpr double kWarmProof = 0.3;   // of a link asked by others: a server that carries so much is warm
constexpr std::ptrdiff_t kAsked = 2; // holders asked before a play is placed
constexpr double kAskWait = 0.02;    // and so long waited for
constexpr double kStepProbe = 20;    // between probes of one server to step plays up there
constexpr double kProbeRest = 3;     // between probes of one server
constexpr double kUnknownUse = 0.6;  // of a link, before anything tells of any; weighs as one heard of
constexpr double kPlaysALink = 4;    // own plays that tell as much of the usual use as one link heard of
constexpr double kGuessShape = 20;   // Gamma shape of others' guessed demand, and one more a play of ours
constexpr double kFewPlays = 6;      // own plays on a link that tell as much of others' as the mean does
constexpr double kRushOver = 2;      // a rush of requests over so long,
constexpr double kUsualOver = 20;    // against what is usual over so long
constexpr double kForgetAfter = 30;  // a server that left and holds none of our plays is forgotten
constexpr std::size_t kChangesKept = 64;

enum class PlayState { vacant, asked, allocating, playing, ending };

struct Play {
  PlayState state = PlayState::vacant;
  PlayRequest terms;
  int server = -1;
  int rung = 0;
  int allocations = 0;
  double target_at = 0, limit_at = 0, started = -1e9, stepped_at = -1e9;
  bool may_have_run = false;
  std::size_t place = 0;      // in its server's plays
  std::array<int, 8> tried{}; // servers already allocated to
};

struct Change { // a play of ours set up, ended or stepped on a link
  double at;
  int group;
  int plays;
};

struct Link {                           // a server's link or a rack's uplink
  double given = 0;                     // its capacity, before places are shared out; see capacity()
  double places = 0;                    // of a server's, none of an uplink
  double told = 0;                      // asked over given, when last told
  double told_at = -1e9;                // the moment the told use is of
  double short_of = 0, short_at = -1e9; // the last told use over one, and when
  double lowered_at = -1e9;             // plays of ours stepped down for it
  std::vector<int> own;                 // this front's plays, by product and rung
  std::vector<Change> changes;          // ours since told_at
};

struct Usual { // what was told of links, or of uplinks, lately
  double use = 0, weight = 0, at = 0;
};

struct Pace { // how many a second, as a mean that fades
  double over, mean = 0, at = 0;
  double seen(double now) const { return mean * std::exp((at - now) / over); }
  void count(double now) { mean = seen(now) + 1 / over, at = now; }
};

struct Server {
  ServerEntry entry;
  bool listed = false, known = false, seen_warm = false;
  bool counted_avoided = false; // it stands among those that may be avoided
  Link link;
  int rack = 0, out = 0;  // out: allocations without outcome or start
  std::vector<int> plays; // ours there
  double avoid_until = -1e9, cold_since = -1e9, last_sent = -1e9, answered_at = -1e9, probed_at = -1e9;
  double raised_at = -2e9, listed_at = 0; // the news it last stepped up on; when it was last seen listed
  int strikes = 0;
};

std::uint64_t mix(std::uint64_t x) { // splitmix64's finish: the hash that fronts share
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ x >> 27) * 0x94d049bb133111ebULL;
  return x ^ x >> 31;
}

class ChernoffFront final : public DecisionEngine {
 public:
  ChernoffFront(const DecisionSettings &given, std::uint64_t seed, double now, DecisionHandler &answers)
      : given_(given), answers_(answers), chance_(static_cast<std::uint32_t>(seed % 2147483646 + 1)),
        now_(now), opened_(now) {
    read_given();
    groups_.reserve(kChangesKept + 2);
    listed_in_.resize(at(cells_));
    racks_.resize(static_cast<std::size_t>(std::max(1.0, SettingsReader(given_).number("racks", 1))));
    for (Link &uplink : racks_) open_link(uplink);
    open_uplinks();
    if (SettingsReader(given_).text("list_mode") == "on_request") answers_.request_server_list();
    answers_.set_timer(kReviewEvery, kReview);
  }

  void set_time(double now) override { now_ = now; }

  void server_list_updated(ListUpdateKind kind, std::span<const ServerEntry> entries) override {
    if (kind ==
        ListUpdateKind::unavailable) { // the list in hand stays in force; ask again, spread over fronts
      answers_.set_timer(1 + chance(), kAskList);
      return;
    }
    if (kind != ListUpdateKind::changes) {
      work_.for_lists += servers_.size();
      for (Server &server : servers_) {
        if (!server.listed) continue;
        set_listed(server, false);
        server.listed_at = now_;
        departed_.add(index_of(server));
      }
    }
    for (const ServerEntry &entry : entries) take_entry(entry);
    share_places();
  }

  void play_requested(int index, const PlayRequest &terms) override {
    Play &play = take(index, terms);
    play.limit_at = std::min(now_ + terms.time_left.value_or(limits_[at(terms.product)]), closes_at_);
    play.target_at = now_ + std::min(targets_[at(terms.product)], play.limit_at - now_);
    retries_.request_accepted(now_);
    for (Pace *pace : {&rush_, &usual_rush_}) pace->count(now_);
    become(index, PlayState::asked);
    if (ask_holders(index)) {
      waiting_.push_back(index);
    } else {
      place(index);
    }
  }

  void play_handed_over(int index, int server, const PlayRequest &terms) override {
    Play &play = take(index, terms);
    if (server >= static_cast<int>(servers_.size())) servers_.resize(at(server) + 1);
    if (!servers_[at(server)].known) open_link(servers_[at(server)].link);
    play.server = server;
    play.rung = lowest(terms.product);
    play.allocations = 1;
    handed_over_ = true;
    become(index, PlayState::playing);
  }

  void play_started(int index, int allocation, double delay) override {
    Play &play = plays_[at(index)];
    if (play.state != PlayState::allocating || allocation != play.allocations - 1) return;
    usual_set_up_ += 0.1 * (delay - usual_set_up_);
    play.started = now_;
    Server &server = servers_[at(play.server)];
    server.strikes = 0;
    server.avoid_until = now_;
    see_answer(server);
    become(index, PlayState::playing);
  }

  void allocation_ended(int index, int allocation, Outcome outcome, bool concluded,
                        const LoadReport &report) override {
    Play &play = plays_[at(index)];
    if (allocation != play.allocations - 1 || play.state == PlayState::vacant ||
        play.state == PlayState::asked)
      return;
    PlayState before = play.state;
    judge(play, outcome);
    read_report(play.server, report, now_ - kReportAge);
    if (concluded || before != PlayState::allocating) return finish(index);
    if (outcome != Outcome::busy && outcome != Outcome::unreachable && outcome != Outcome::skipped)
      play.may_have_run = true;
    become(index, PlayState::asked);
    place(index);
  }

  void feedback_received(int index, FeedbackKind kind, double value) override {
    Play &play = plays_[at(index)];
    if (play.state == PlayState::vacant || play.server < 0) return;
    Server &server = servers_[at(play.server)];
    bool at_set_up =
        play.state == PlayState::allocating || now_ - play.started < 0.05; // of now, not of a while ago
    double as_of = at_set_up ? now_ : now_ - note_delay_;
    if (kind == FeedbackKind::rung) {
      step_to(index, static_cast<int>(value));
    } else if (kind == FeedbackKind::link_demand) {
      hear(server.link, value, as_of);
      see_warm(server, value);
    } else if (kind == FeedbackKind::uplink_demand) {
      hear(racks_[at(server.rack)], value, as_of);
    } else if (value < 0.98) { // short of something: the link is at least so much overrun
      server.link.short_of = 1 / std::max(value, 0.05);
      server.link.short_at = now_;
    }
  }

  void viewer_left(int index) override {
    Play &play = plays_[at(index)];
    if (play.state == PlayState::vacant) return;
    if (play.state == PlayState::asked) return finish(index);
    if (play.state == PlayState::allocating) become(index, PlayState::ending);
  }

  void probe_answered(int server, Outcome outcome, const LoadReport &report) override {
    if (outcome == Outcome::done) return read_report(server, report, now_ - kReportAge);
    if (outcome != Outcome::busy) strike(servers_[at(server)]); // a server turns probes away over its cap
  }

  void settings_changed(const DecisionSettings &given) override {
    given_ = given;
    read_given();
    open_uplinks();
    for (Server &server : servers_) { // at the values of now
      if (!server.known) continue;
      bool listed = server.listed;
      set_listed(server, false);
      measure(server);
      set_listed(server, listed);
    }
    share_places();
    own_in_all_ = 0; // at the rates of now
    for (const Server &server : servers_) {
      for (std::size_t g = 0; g < server.link.own.size(); ++g)
        own_in_all_ += server.link.own[g] * group_rate(static_cast<int>(g));
    }
  }

  void set_shutdown_time(double moment) override {
    closes_at_ = moment;
    for (Play &play : plays_) {
      play.limit_at = std::min(play.limit_at, moment);
      play.target_at = std::min(play.target_at, moment);
    }
  }

  ServerView server_view(int index) const override {
    if (index < 0 || at(index) >= servers_.size()) return {};
    const Server &server = servers_[at(index)];
    const Link &uplink = racks_[at(server.rack)];
    auto age = [&](const Link &link) { return link.told_at < 0 ? -1 : now_ - link.told_at; };
    return {server.strikes,
            static_cast<int>(server.plays.size()),
            now_ < server.avoid_until,
            may_be_cold(server),
            server.link.told,
            age(server.link),
            uplink.told,
            age(uplink)};
  }

  ServerScanCounts server_scan_counts() const override { return work_; }

  void timer_expired(int label) override {
    if (label == kAskList) answers_.request_server_list();
    if (label == kPlace) {
      placing_.swap(waiting_);
      std::sort(placing_.begin(), placing_.end());
      for (int p : placing_) {
        if (plays_[at(p)].state == PlayState::asked) place(p);
      }
      placing_.clear();
    }
    if (label == kReview) review();
  }

 private:
  enum Label { kAskList = 1, kReview, kPlace };

  void read_given() {
    SettingsReader given(given_);
    rates_ = given.list("rung_rates");
    rung_worth_ = given.list("rung_importance");
    factors_ = given.list("product_rate_factors");
    floors_ = given.list("product_floors");
    tops_ = given.list("product_tops");
    seats_ = given.list("product_seats");
    kind_places_ = given.list("kind_places");
    fronts_ = std::max(1.0, given.number("fronts", 1));
    link_per_weight_ = given.number("link_per_weight", 0);
    cells_ = std::max(1, static_cast<int>(given.number("cells", 1)));
    warm_up_ = given.number("warm_up", 0);
    may_probe_ = given.text("load_comes_with") != "none" && given.number("may_probe", 0) > 0;
    note_delay_ = given.number("note_delay", 1);
    allowed_ = static_cast<int>(given.number("allocations_per_play", 1));
    longest_retry_after_ = given.number("longest_retry_after", 0);
    slow_start_.fronts = fronts_, slow_start_.front_index = static_cast<int>(given.number("front_index", 0));
    slow_start_.window = given.number("fall_span", 1);
    slow_start_.set_up_budget =
        given.number("fall_multiple", 1) * given.number("cold_share", 0) * slow_start_.window * kColdSafety;
    slow_start_.warm_up = warm_up_;
    retries_.set_settings(
        {given.number("further_span", 0), given.number("further_free", 0), given.number("further_share", 0)});
    uplinks_told_ = given.text("load_fields").find("uplink") != std::string_view::npos;
    products_ = static_cast<int>(given.number("products", 1));
    targets_.clear(), limits_.clear(), importance_.clear(), safe_.clear(), earning_.clear(),
        strictness_.clear();
    for (int p = 0; p < products_; ++p) {
      std::string name = "product." + std::to_string(p) + ".";
      targets_.push_back(given.number(name + "first_frame_target", 1));
      limits_.push_back(given.number(name + "time_limit", 4));
      importance_.push_back(given.number(name + "importance", 1));
      safe_.push_back(given.text(name + "set_up") != "unsafe" && given.text(name + "set_up") != "keyed");
    }
    if (rates_.empty() || rung_worth_.size() != rates_.size() || at(products_) != factors_.size() ||
        factors_.size() != floors_.size() || factors_.size() != tops_.size())
      throw std::invalid_argument("the settings' rungs and products do not match");
    weigh_rungs();
  }
  double uplink_given() const { return uplinks_told_ ? SettingsReader(given_).number("rack_uplink", 0) : 0; }

  // The ordinary path: the highest rung that passes, on the roomiest holder, or an answer at once.
  void place(int index) {
    Play &play = plays_[at(index)];
    const PlayRequest &terms = play.terms;
    int low = lowest(terms.product), top = highest(terms);
    bool first = play.allocations == 0;
    if (!first && play.may_have_run && !safe_[at(terms.product)]) return give_up(index);
    if (play.allocations >= allowed_ || (!first && !retries_.allows(now_))) return give_up(index);
    if (now_ >= play.target_at || play.limit_at - now_ < kLeastSetUp) return give_up(index);
    if (!seat_free(terms)) return give_up(index);

    find_open(play);
    int best = -1, best_rung = -1;
    double best_room = 0;
    for (int rung = top; rung >= low && best < 0; --rung) {
      for (int s : open_) {
        int group = terms.product * rungs() + rung;
        gather(servers_[at(s)].link);
        double room = capacity(servers_[at(s)].link) - demand_;
        bool roomier =
            best < 0 || room > best_room || (room == best_room && hash(terms, s) > hash(terms, best));
        if (roomier && fits(servers_[at(s)], group, group_rate(group)))
          best = s, best_rung = rung, best_room = room;
      }
    }
    if (best < 0) return give_up(index);

    if (!first) retries_.retry_made(now_);
    play.server = best;
    play.rung = best_rung;
    play.tried[at(play.allocations) % play.tried.size()] = best;
    ++play.allocations;
    servers_[at(best)].last_sent = now_;
    answers_.set_rung(index, best_rung);
    answers_.start_allocation(index, best, time_out(play));
    become(index, PlayState::allocating);
  }

  // Guards against a choice by lot on fleets where a front hears of few servers: where probes carry load, a
  // first try asks some unheard holders. An answer takes a moment, a bad choice costs the play's whole
  // length; it could harm where probes are slow or dear. True if the play now waits (the wait ends in
  // kPlace).
  bool ask_holders(int index) {
    Play &play = plays_[at(index)];
    if (!may_probe_ || play.terms.is_repeated) return false; // who comes again has been asked for
    find_open(play);
    std::erase_if(open_, [&](int s) { return now_ - servers_[at(s)].link.told_at <= kFreshNews; });
    if (open_.empty()) return false;
    auto asked = open_.begin() + std::min(kAsked, static_cast<std::ptrdiff_t>(open_.size()));
    auto first = [&](int a, int b) { return hash(play.terms, a) > hash(play.terms, b); };
    std::partial_sort(open_.begin(), asked, open_.end(), first);
    for (auto s = open_.begin(); s != asked; ++s) probe(servers_[at(*s)]);
    answers_.set_timer(kAskWait, kPlace);
    return true;
  }

  // Plays under way, and servers that have left long ago; by the servers that either concerns.
  void review() {
    SortedIndices racks;
    for (int s : occupied_) racks.add(servers_[at(s)].rack);
    for (int rack : racks) lower(racks_[at(rack)], servers_at(rack));
    for (int s : occupied_) {
      ++work_.for_reviews;
      Server &server = servers_[at(s)];
      lower(server.link, std::span(&s, 1));
      raise(server);
    }
    forget_departed();
    answers_.set_timer(kReviewEvery, kReview);
  }

  std::span<const int> servers_at(int rack) { // with plays of ours
    at_rack_.clear();
    for (int s : occupied_) {
      ++work_.for_reviews;
      if (servers_[at(s)].rack == rack) at_rack_.push_back(s);
    }
    return at_rack_;
  }

  void forget_departed() {
    forgotten_.clear();
    for (int s : departed_) {
      ++work_.for_reviews;
      const Server &server = servers_[at(s)];
      if (server.plays.empty() && now_ - server.listed_at > kForgetAfter) forgotten_.push_back(s);
    }
    for (int s : forgotten_) {
      departed_.remove(s);
      answers_.forget_server(s);
      Server &server = servers_[at(s)];
      bool counted = server.counted_avoided;
      server = Server{};
      server.counted_avoided = counted;
    }
  }

  // Plays under way. Where a link runs short this front steps down its part of the excess.
  void lower(Link &link, std::span<const int> its_servers) {
    if (link.given <= 0) return; // nothing known of it: what is told of it has no scale
    if (now_ - std::max(link.told_at, link.short_at) > kFreshNews) return;
    if (now_ - link.lowered_at < note_delay_ + kShortHolds) return; // until the news shows the last steps
    double own = gather(link, false);
    double mine = (demand_ - capacity(link) * kShortFrom) * std::min(1.0, own / std::max(demand_, 1.0));
    while (mine > 0) {
      int play = pick_step(its_servers, -1);
      if (play < 0) return;
      int group = group_of(plays_[at(play)]);
      double less = group_rate(group) - group_rate(group - 1);
      link.lowered_at = now_;
      if (chance() * less > kOvershoot * mine) return; // what is less than a step to give goes by chance
      mine -= less;
      step(play, -1);
    }
  }

  // Where room lasts, a few plays step up, once for each piece of news. All fronts with plays there hear the
  // same, so each steps by the chance at which all plays there together, were they to do so, still pass.
  void raise(Server &server) {
    // On old news it asks, where it may; with none to be had it steps once, by what is usual.
    const int own = index_of(server);
    std::span<const int> its_servers(&own, 1);
    bool old = now_ - server.link.told_at > kFreshNews;
    if (old && may_probe_ && now_ - server.probed_at > kStepProbe && pick_step(its_servers, 1) >= 0)
      probe(server);
    if ((old && server.link.told_at > 0) || server.link.told_at <= server.raised_at) return;
    server.raised_at = server.link.told_at;
    for (int raised = 0; raised < kRaises; ++raised) {
      int index = pick_step(its_servers, 1);
      if (index < 0) return;
      int low = plays_[at(index)].rung, rung = low;
      int from = group_of(plays_[at(index)]);
      double part = 2;
      while (rung == low && (part /= 2) > kLeastPart) {
        rung = highest(plays_[at(index)].terms); // a step costs the same however far it goes
        while (rung > low && !fits(server, from + rung - low,
                                   group_rate(from + rung - low) - group_rate(from), kRaise, part))
          --rung;
      }
      if (rung == low || chance() >= part) return;
      step(index, rung - low);
    }
  }

  // The play of ours at these servers whose step earns most for its rate (up) or loses least (down); of
  // equals the one of the lowest index.
  int pick_step(std::span<const int> its_servers, int by) {
    int best = -1;
    double best_earning = 0;
    for (int s : its_servers) {
      ++work_.for_reviews;
      const Server &server = servers_[at(s)];
      for (int p : server.plays) {
        const Play &play = plays_[at(p)];
        if (play.state != PlayState::playing || now_ - play.stepped_at < kStepRest) continue;
        int rung = play.rung + by, product = play.terms.product;
        if (rung < lowest(product) || rung > highest(play.terms)) continue;
        double earning = earning_[at(group_of(play) + (by > 0 ? 1 : 0))] * by;
        if (best < 0 || earning > best_earning || (earning == best_earning && p < best))
          best = p, best_earning = earning;
      }
    }
    return best;
  }

  void step(int index, int by) {
    Play &play = plays_[at(index)];
    play.stepped_at = now_;
    step_to(index, play.rung + by);
    answers_.set_rung(index, play.rung);
  }

  // The final answer when nothing more is tried: a decline where that is safe to say, else a failure.
  void give_up(int index) {
    Play &play = plays_[at(index)];
    if (play.may_have_run && !safe_[at(play.terms.product)]) {
      answers_.fail_play(index);
    } else {
      answers_.decline_play(index, longest_retry_after_ * (0.5 + 0.5 * chance()));
    }
    finish(index);
  }

  void finish(int index) {
    become(index, PlayState::vacant);
    answers_.forget_play(index);
  }

  // The one place where a play's state changes; it keeps the tallies in step.
  void become(int index, PlayState next) {
    Play &play = plays_[at(index)];
    bool was_out = holds(play.state), is_out = holds(next);
    if (was_out != is_out && play.server >= 0) {
      tally(play, is_out ? 1 : -1);
      seat(play.terms) += is_out ? 1 : -1;
      std::vector<int> &there = servers_[at(play.server)].plays;
      if (is_out) {
        occupied_.add(play.server);
        play.place = there.size();
        there.push_back(index);
      } else { // the last takes its place
        plays_[at(there.back())].place = play.place;
        there[play.place] = there.back();
        there.pop_back();
        if (there.empty()) occupied_.remove(play.server);
      }
    }
    if (play.server >= 0)
      servers_[at(play.server)].out +=
          (next == PlayState::allocating) - (play.state == PlayState::allocating);
    play.state = next;
  }
  static bool holds(PlayState state) { return state >= PlayState::allocating; }

  void step_to(int index, int rung) {
    Play &play = plays_[at(index)];
    if (rung == play.rung || rung < 0 || rung >= rungs()) return;
    tally(play, -1);
    play.rung = rung;
    tally(play, 1);
  }

  // ---- The mechanism: demand on a link and the test.
  // With a part: as if this part of all plays there, whichever front's, did the same.
  bool fits(const Server &server, int group, double rate, double strictness = 1, double part = 0) {
    return passes(server.link, group, rate, strictness, part) &&
           passes(racks_[at(server.rack)], group, rate, strictness, part);
  }

  bool passes(const Link &link, int group, double rate, double strictness = 1, double part = 0) {
    if (link.given <= 0) return true; // nothing known of it
    double own = gather(link);
    groups_.push_back({std::max(1.0, part * demand_ / std::max(own, 1.0)), rate, kVariation});
    return log_overrun_bound(groups_, capacity(link)) <=
           std::log(kTolerance) * strictness_[at(group)] * strictness;
  }

  // Fills groups_ with the demand on a link: told or guessed, this front's changes since, its own at least.
  double gather(const Link &link, bool cautious = true) {
    groups_.clear();
    double own = 0, since = 0, plays = 0;
    for (int g = 0; g < static_cast<int>(link.own.size()); ++g) {
      own += link.own[at(g)] * group_rate(g);
      plays += link.own[at(g)];
    }
    bool news = now_ - link.told_at < kNewsLife;
    // A link that ran short may soon again (another program on and off): a fading memory; not of an uplink.
    bool holds_on = !is_rack(link) && (cautious || now_ - link.short_at < kShortHolds);
    double fading = holds_on ? link.short_of : 0;
    if (cautious) fading *= std::exp((link.short_at - now_) / kShortFades);
    double guess = news ? 0 : untold(link, plays); // of others' demand
    double told = std::max(news ? link.told * capacity(link) : own + guess, fading * capacity(link));
    if (news) {
      double adders = cautious ? fronts_adding(link) : 1;
      for (const Change &change : link.changes) {
        if (change.plays > 0) {
          groups_.push_back({change.plays * adders, group_rate(change.group), kVariation});
          since += change.plays * adders * group_rate(change.group);
        } else {
          told += change.plays * group_rate(change.group);
        }
      }
    }
    told = std::max({told, own - since, 0.0}) + (news && cautious ? crowding(link) : 0);
    demand_ = told + since;
    if (guess > 0) groups_.push_back({1, guess, 1 / std::sqrt(kGuessShape + plays)}), told -= guess;
    if (double middle = group_rate(rungs() / 2); told > 0)
      groups_.push_back({told / middle, middle, kVariation});
    return own;
  }

  // Guards against a crowd that all fronts admit blindly until the next news: far more requests than usual
  // here speak of as many at every front. It could harm where a crowd comes to one front alone.
  double crowding(const Link &link) const {
    double surge = rush_.seen(now_) - 2 * usual_rush_.seen(now_) - 1 / rush_.over;
    double all = is_rack(link) ? rack_capacity_ : link_capacity_;
    if (surge <= 0 || all <= 0 || held_ <= 0) return 0;
    double age = std::clamp(now_ - link.told_at, 0.0, kFreshNews);
    return surge * (fronts_ - 1) * age * capacity(link) / all * own_in_all_ / held_;
  }

  // Fronts that add alike after the same news of a told uplink: own set-ups speak for the others' as far as
  // requests usually come here often enough between two pieces of news for them to be more than chance.
  double fronts_adding(const Link &link) const {
    if (!uplinks_told_ || !is_rack(link)) return 1;
    double usual = usual_rush_.seen(now_) * (now_ - link.told_at) / static_cast<double>(racks_.size());
    return 1 + (fronts_ - 1) * usual / (usual + 1);
  }

  // A rung that earns less for its rate than the best of any product is held to a tighter tolerance.
  void weigh_rungs() {
    for (int g = 0; g < products_ * rungs(); ++g) {
      int r = g % rungs();
      double more = rung_worth_[at(r)] - (r > 0 ? rung_worth_[at(r - 1)] : 0);
      earning_.push_back(more * importance_[at(g / rungs())] /
                         (group_rate(g) - (r > 0 ? group_rate(g - 1) : 0)));
    }
    for (int g = products_ * rungs() - 1; g >= 0; --g) { // a low rung opens the way to those above it
      if (g % rungs() < rungs() - 1) earning_[at(g)] = std::max(earning_[at(g)], earning_[at(g + 1)]);
    }
    double best = *std::max_element(earning_.begin(), earning_.end());
    for (double e : earning_) strictness_.push_back(std::pow(best / e, kThrift));
  }

  void take_entry(const ServerEntry &entry) {
    ++work_.for_lists;
    if (entry.server >= static_cast<int>(servers_.size()))
      servers_.resize(at(entry.server) + 1), open_.reserve(servers_.size());
    Server &server = servers_[at(entry.server)];
    if (entry.started_at > 0 && entry.started_at > server.entry.started_at) {
      server.cold_since = std::max(server.cold_since, entry.started_at);
      if (server.known) server.strikes = 0, server.avoid_until = now_;
    }
    bool was_listed = server.listed, first_heard = !server.known;
    set_listed(server, false); // with what it was listed as
    server.entry = entry;
    if (!server.known) open_link(server.link);
    server.known = true;
    measure(server);
    set_listed(server, entry.status == ServerStatus::active);
    if (server.listed) {
      departed_.remove(entry.server);
    } else {
      departed_.add(entry.server);
      if (was_listed || first_heard) server.listed_at = now_;
    }
    set_rack(server, entry.cell % static_cast<int>(racks_.size()));
  }

  // The one place where a server joins or leaves those that are listed; it keeps the sums in step.
  void set_listed(Server &server, bool listed) {
    if (server.listed == listed) return;
    int by = listed ? 1 : -1;
    server.listed = listed;
    listed_ += by;
    std::vector<int> &cell = listed_in_[at(cell_of(server.entry.cell))];
    if (listed)
      cell.push_back(index_of(server));
    else
      std::erase(cell, index_of(server));
    listed_places_ += by * server.link.places;
    listed_capacity_ += by * server.link.given;
    placed_capacity_ += by * server.link.given * server.link.places;
  }

  void set_rack(Server &server, int rack) {
    if (rack == server.rack) return;
    for (int g = 0; g < products_ * rungs(); ++g) { // plays of ours go with it
      racks_[at(server.rack)].own[at(g)] -= server.link.own[at(g)];
      racks_[at(rack)].own[at(g)] += server.link.own[at(g)];
    }
    server.rack = rack;
  }

  // Where weights say nothing, a kind with more places is held to have a link larger in proportion.
  void share_places() {
    by_places_ = SettingsReader(given_).text("weight_meaning") == "none" && listed_places_ > 0;
    link_capacity_ =
        static_cast<double>(by_places_ ? placed_capacity_ * listed_ / listed_places_ : listed_capacity_);
  }

  double capacity(const Link &link) const {
    return by_places_ && !is_rack(link)
               ? link.given * static_cast<double>(link.places * listed_ / listed_places_)
               : link.given;
  }

  void measure(Server &server) {
    server.link.given = server.entry.weight * link_per_weight_;
    server.link.places = places_of(server);
  }

  void open_uplinks() {
    rack_capacity_ = 0;
    for (Link &uplink : racks_) {
      uplink.given = uplink_given();
      rack_capacity_ += uplink.given;
    }
  }

  double places_of(const Server &server) const {
    return server.entry.kind >= 0 && at(server.entry.kind) < kind_places_.size()
               ? kind_places_[at(server.entry.kind)]
               : 0;
  }

  // Unheard of, a link is held to be used as those heard of lately are, and as far as own plays, which come
  // to so many a link, tell of all fronts'; more own plays than that here speak of more of the others'.
  double untold(const Link &link, double plays) const {
    bool rack = is_rack(link);
    const Usual &usual = usual_[rack];
    double all = rack ? rack_capacity_ : link_capacity_;
    if (all <= 0) return 0;
    double heard = usual.weight * std::exp((usual.at - now_) / kNewsLife);
    double weight = held_ / kPlaysALink;
    double use =
        (heard * usual.use + weight * own_in_all_ * fronts_ / all + kUnknownUse) / (heard + weight + 1);
    double expected = held_ * capacity(link) / all;
    return (fronts_ - 1) / fronts_ * use * capacity(link) * (kFewPlays + plays) / (kFewPlays + expected);
  }

  bool is_rack(const Link &link) const {
    return &link >= racks_.data() && &link < racks_.data() + racks_.size();
  }

  void hear(Link &link, double asked, double as_of) {
    if (as_of < link.told_at) return;
    link.told = asked;
    Usual &usual = usual_[is_rack(link)];
    usual.weight = 1 + usual.weight * std::exp((usual.at - now_) / kNewsLife);
    usual.use += (asked - usual.use) / usual.weight;
    usual.at = now_;
    if (asked > 1) link.short_of = asked, link.short_at = as_of;
    link.told_at = as_of;
    std::erase_if(link.changes, [&](const Change &c) { return c.at <= as_of; });
  }

  void read_report(int index, const LoadReport &report, double as_of) {
    if (index < 0) return;
    Server &server = servers_[at(index)];
    double asked = report.link_demand ? *report.link_demand : report.link_share.value_or(0);
    see_warm(server, asked);
    if (report.link_demand) {
      hear(server.link, *report.link_demand, as_of);
    } else if (report.link_share) { // capped: at one it only says at least
      hear(server.link, *report.link_share < 0.99 ? *report.link_share : std::max(1.0, server.link.told),
           as_of);
    }
    // What the link carries its rack's uplink carries too: an uplink at nothing beside it was not read yet.
    bool unread = report.uplink_demand && *report.uplink_demand <= 0 && asked > 0;
    if (report.uplink_demand && !unread) hear(racks_[at(server.rack)], *report.uplink_demand, as_of);
  }

  void tally(const Play &play, int plays) {
    int group = group_of(play);
    own_in_all_ += plays * group_rate(group), held_ += plays;
    Server &server = servers_[at(play.server)];
    for (Link *link : {&server.link, &racks_[at(server.rack)]}) {
      link->own[at(group)] += plays;
      if (link->changes.size() >= kChangesKept) link->changes.erase(link->changes.begin());
      link->changes.push_back({now_, group, plays});
    }
  }

  // ---- Which servers may be sent to.
  // A symptom that most servers share says more of the front or the network than of them: serve on.
  void find_open(const Play &play) {
    bool heed = count_avoided() * 3 < listed_ * 2 || listed_ < 3;
    open_.clear();
    int first = cell_of(play.terms.first_cell);
    for (int c = 0; c < std::min(play.terms.cell_count, cells_); ++c) {
      for (int s : listed_in_[at((first + c) % cells_)]) {
        ++work_.for_placements;
        if (open_to(s, play, heed)) open_.push_back(s);
      }
    }
  }

  int cell_of(int cell) const { return (cell % cells_ + cells_) % cells_; }

  int count_avoided() { // of those listed; the others are let go of
    std::erase_if(avoided_, [&](int s) {
      ++work_.for_placements;
      Server &server = servers_[at(s)];
      if (now_ < server.avoid_until) return false;
      server.counted_avoided = false;
      return true;
    });
    return static_cast<int>(std::ranges::count_if(avoided_, [&](int s) { return servers_[at(s)].listed; }));
  }

  void avoid(Server &server, double until) {
    if (!std::exchange(server.counted_avoided, true)) avoided_.push_back(index_of(server));
    server.avoid_until = until;
  }

  bool open_to(int s, const Play &play, bool heed) const {
    const Server &server = servers_[at(s)];
    if (!server.listed) return false;
    if (heed && (now_ < server.avoid_until || (server.strikes > 0 && server.out > 0))) return false;
    for (int i = 0; i < std::min(play.allocations, static_cast<int>(play.tried.size())); ++i) {
      if (play.tried[at(i)] == s) return false;
    }
    return cold_allows(server);
  }

  // Use that this front's own plays don't explain takes a cold server's pace most of its warm-up to build.
  void see_warm(Server &server, double asked) {
    double own = gather(server.link);
    if (asked * capacity(server.link) - own > kWarmProof * capacity(server.link)) server.seen_warm = true;
  }

  bool cold_allows(const Server &server) const {
    if (!may_be_cold(server)) return true;
    SlowStartState state;
    state.capacity = places_of(server);
    state.known_cold = now_ - server.cold_since < warm_up_;
    state.first_set_up_pending =
        server.answered_at < server.cold_since && server.last_sent >= server.cold_since;
    state.idle_time = now_ - server.last_sent;
    // One that came back may have sent until it went down.
    if (state.known_cold && !handed_over_) state.idle_time = std::min(state.idle_time, now_ - opened_);
    return slow_start_allows(slow_start_, state, now_);
  }

  // Guards against set-ups that arrive together: the first after a start waits for a new connection, which
  // may come up late. It goes alone, and the pace counts from its answer or end. Harms where it is slow.
  void see_answer(Server &server) {
    if (server.answered_at < server.cold_since)
      server.last_sent = std::max(server.last_sent, now_ - usual_set_up_);
    server.answered_at = now_;
  }

  // A front that came back has no memory: any server may be cold to it until it is seen to carry much.
  bool may_be_cold(const Server &server) const {
    return now_ - server.cold_since < warm_up_ ||
           (!handed_over_ && !server.seen_warm && now_ - opened_ < warm_up_);
  }

  void judge(const Play &play, Outcome outcome) {
    Server &server = servers_[at(play.server)];
    bool lost = outcome == Outcome::reset || outcome == Outcome::unreachable;
    if (lost || (outcome == Outcome::timed_out && play.state == PlayState::allocating)) {
      server.cold_since = now_; // whatever comes back may be cold
      if (now_ >= server.avoid_until) strike(server);
      return;
    }
    if (play.state != PlayState::playing) see_answer(server);
    if (outcome == Outcome::busy) avoid(server, std::max(server.avoid_until, now_ + kFirstAvoid));
  }

  void strike(Server &server) {
    avoid(server, now_ + std::min(kLongestAvoid, kFirstAvoid * std::exp2(server.strikes)));
    ++server.strikes;
  }

  // ---- Terms, seats and the budget of further allocations.
  bool seat_free(const PlayRequest &terms) {
    double seats = terms.product < static_cast<int>(seats_.size()) ? seats_[at(terms.product)] : 0;
    return seats <= 0 || seat(terms) < static_cast<int>(seats);
  }

  int &seat(const PlayRequest &terms) {
    std::size_t place = at(terms.title) * at(products_) + at(terms.product);
    if (place >= seats_held_.size()) seats_held_.resize(std::max(place + 1, 2 * seats_held_.size()));
    return seats_held_[place];
  }

  // Leaves room for another allocation before the first-frame target, unless this is the last.
  double time_out(const Play &play) const {
    double limit = play.limit_at - now_;
    if (!safe_[at(play.terms.product)] || play.allocations >= allowed_) return limit;
    double target = play.target_at - now_;
    return std::min(limit, std::max(target / 2, std::min(target, 3 * usual_set_up_)));
  }

  void probe(Server &server) {
    if (!may_probe_ || now_ - server.probed_at < kProbeRest) return;
    server.probed_at = now_;
    answers_.probe_server(index_of(server));
  }

  // ---- Small helpers.
  int index_of(const Server &server) const { return static_cast<int>(&server - servers_.data()); }
  static std::size_t at(int i) { return static_cast<std::size_t>(i); }
  int highest(const PlayRequest &terms) const {
    return std::min({terms.max_rung, static_cast<int>(tops_[at(terms.product)]), rungs() - 1});
  }
  int group_of(const Play &play) const { return play.terms.product * rungs() + play.rung; }
  int rungs() const { return static_cast<int>(rates_.size()); }
  int lowest(int product) const { return static_cast<int>(floors_[at(product)]); }
  double rate_of(int product, int rung) const { return rates_[at(rung)] * factors_[at(product)]; }
  double group_rate(int group) const { return rate_of(group / rungs(), group % rungs()); }
  double chance() { return static_cast<double>(chance_() - 1) / 2147483646.0; }
  std::uint64_t hash(const PlayRequest &terms, int s) const {
    return mix(terms.viewer ^ mix(servers_[at(s)].entry.stable_id));
  }

  Play &take(int index, const PlayRequest &terms) {
    if (at(index) >= plays_.size()) plays_.resize(at(index) + 1);
    Play &play = plays_[at(index)];
    play = Play{};
    play.terms = terms;
    return play;
  }

  void open_link(Link &link) {
    link.own.assign(at(products_ * rungs()), 0);
    link.changes.reserve(kChangesKept);
  }

  DecisionSettings given_;
  DecisionHandler &answers_;
  std::minstd_rand chance_;
  double now_, opened_, closes_at_ = INFINITY;
  std::vector<double> rates_, rung_worth_, factors_, floors_, tops_, seats_, kind_places_, targets_, limits_;
  std::vector<double> importance_, earning_;
  std::vector<double> strictness_; // by product and rung, on the logarithm of the tolerance
  std::vector<bool> safe_;
  double longest_retry_after_ = 0;
  SlowStartSettings slow_start_;
  RetryBudget retries_;
  double fronts_ = 1, warm_up_ = 0, note_delay_ = 1, usual_set_up_ = kSetUpGuess;
  int cells_ = 1, products_ = 1, allowed_ = 1;
  bool uplinks_told_ = false, may_probe_ = false, handed_over_ = false;
  ServerScanCounts work_;
  std::vector<Server> servers_;
  std::vector<Link> racks_;
  std::vector<Play> plays_;
  SortedIndices occupied_, departed_;       // servers with plays of ours; known servers that are not listed
  std::vector<int> at_rack_, forgotten_;    // of the review in hand
  std::vector<std::vector<int>> listed_in_; // servers, by cell
  std::vector<int> avoided_;                // servers; some that are not avoided any more
  std::vector<int> open_;                   // servers that the play in hand may be sent to
  std::vector<int> seats_held_, waiting_, placing_; // by title and product; plays whose holders were asked
  std::vector<RateGroup> groups_;
  double demand_ = 0, own_in_all_ = 0, held_ = 0, link_capacity_ = 0, rack_capacity_ = 0,
         link_per_weight_ = 0;
  long double listed_capacity_ = 0, placed_capacity_ = 0, listed_places_ = 0; // sums over listed servers
  int listed_ = 0;
  bool by_places_ = false;
  std::array<Usual, 2> usual_; // of links, of uplinks
  Pace rush_{kRushOver}, usual_rush_{kUsualOver};
};

} // namespace

std::unique_ptr<DecisionEngine> make_decision_engine(const DecisionSettings &given, std::uint64_t seed,
                                                     double now, DecisionHandler &answers) {
  return std::make_unique<ChernoffFront>(given, seed, now, answers);
}

} // namespace snowshore
