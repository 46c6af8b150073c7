#include "given/translate.h"
#include "decision/names.h"

#include <algorithm>
#include <iterator>

namespace snowshore::given {

namespace {

struct Name {
  std::string_view wire, plain;
};

// What the wire calls a setting and what the module calls it; names not listed pass under the wire's own.
constexpr Name kSettingNames[] = {
    {"group_size", given::kFronts},
    {"index", given::kFrontIndex},
    {"my_zone", given::kHall},
    {"areas", given::kHalls},
    {"skus", given::kKinds},
    {"classes.count", given::kProducts},
    {"discovery", given::kListMode},
    {"over_share_worth", given::kImportanceOverShare},
    {"weights", given::kWeightMeaning},
    {"family_info.cells", given::kCells},
    {"family_info.class_floor", given::kProductFloors},
    {"family_info.class_top", given::kProductTops},
    {"family_info.class_seats", given::kProductSeats},
    {"family_info.rate_factor", given::kProductRateFactors},
    {"family_info.is_live", given::kProductLive},
    {"family_info.full_from", given::kServerFullFrom},
    {"family_info.join_adds", given::kSharedViewerCost},
    {"family_info.kind_slots", given::kKindCapacities},
    {"family_info.links_kb", given::kTotalLinkCapacity},
    {"family_info.groups", given::kRacks},
    {"family_info.ladder_kb", given::kRungRates},
    {"family_info.worth_by_rung", given::kRungImportance},
    {"family_info.seen_after", given::kFeedbackDelay},
    {"family_info.reports_every", given::kLinkFeedbackInterval},
    {"family_info.shortfall_cost", given::kShortfallCost},
    {"family_info.switch_cost_s", given::kRungStepCost},
    {"family_info.rack_link_kb", given::kRackUplink},
    {"family_info.link_unit_kb", given::kLinkPerWeight},
    {"limits.attempts_cap", given::kAllocationsPerPlay},
    {"limits.cancel", given::kMayRecall},
    {"limits.probes", given::kMayProbe},
    {"limits.retry_after", given::kMayAdviseReturn},
    {"limits.max_retry_after", given::kLongestRetryAfter},
    {"prices.moves", given::kMovePrice},
    {"prices.probe", given::kProbePrice},
    {"prices.cross_zone", given::kCrossHallPrice},
    {"prices.late_fail", given::kLateFailurePrice},
    {"report.how", given::kLoadReportSource},
    {"report.names", given::kLoadFields},
    {"rules.cold", given::kWarmUp},
    {"rules.cold_from", given::kColdShare},
    {"rules.fall_multiple", given::kColdOverloadMultiple},
    {"rules.tip_after", given::kColdOverloadWindow},
    {"rules.stop_sending_within", given::kDrainGrace},
    {"rules.repeat_ratio", given::kRetryShare},
    {"rules.free_resends", given::kFreeRetries},
    {"rules.budget_span", given::kRetryWindow},
    {"rules.answer_slack", given::kAnswerSlack},
};

constexpr Name kProductNames[] = {
    {"on_time", given::kFirstFrameTarget}, {"deadline", given::kTimeLimit}, {"worth", given::kImportance},
    {"effect", given::kSetUpMode},         {"name", given::kName},
};

constexpr std::pair<Name, std::optional<double> LoadReport::*> kLoadNames[] = {
    {{"active", given::kStreams}, &LoadReport::streams},
    {{"cpu", given::kLinkShare}, &LoadReport::link_share},
    {{"x0", given::kLink}, &LoadReport::link_demand},
    {{"x1", given::kUplink}, &LoadReport::uplink_demand}};

std::string plain_name(std::span<const Name> names, std::string_view wire) {
  for (const Name &name : names) {
    if (name.wire == wire) return std::string(name.plain);
  }
  return std::string(wire);
}

} // namespace

DecisionSettings translate_settings(std::span<const SettingField> fields) {
  DecisionSettings out;
  for (const auto &[name, value] : fields) {
    std::string_view rest = name;
    std::string plain;
    if (name.starts_with("classes.") && name != "classes.count") {
      rest.remove_prefix(8);
      std::size_t dot = rest.find('.');
      if (dot == std::string_view::npos) continue;
      plain =
          "product." + std::string(rest.substr(0, dot + 1)) + plain_name(kProductNames, rest.substr(dot + 1));
    } else {
      plain = plain_name(kSettingNames, name);
    }
    if (name == "report.names") {
      std::string words;
      for_each_part(value, ',', [&](std::string_view word) {
        if (!words.empty()) words += ',';
        auto known = std::ranges::find(kLoadNames, word, [](const auto &one) { return one.first.wire; });
        words += known == std::end(kLoadNames) ? word : known->first.plain;
      });
      out[plain] = words;
    } else {
      out[plain] = std::string(value);
    }
  }
  return out;
}

std::string_view parse_load_report(std::string_view text, char mark, LoadReport &report) {
  std::string_view bad;
  for_each_part(text, mark, [&](std::string_view pair) {
    std::size_t colon = pair.find(':');
    std::string_view value = colon == std::string_view::npos ? "" : pair.substr(colon + 1);
    auto number = parse_number(value);
    if (colon == std::string_view::npos || (!value.empty() && !number)) {
      if (bad.empty()) bad = pair.empty() ? std::string_view("an empty part") : pair;
      return;
    }
    for (const auto &[name, part] : kLoadNames) {
      if (number && name.wire == pair.substr(0, colon)) report.*part = number;
    }
  });
  return bad;
}

} // namespace snowshore::given
