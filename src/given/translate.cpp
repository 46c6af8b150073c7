#include "given/translate.h"
#include "decision/names.h"

#include <algorithm>
#include <iterator>

namespace snowshore::given {

namespace {

struct NameMapping {
  std::string_view platform_name, engine_name;
};

// The platform's name of each setting and the engine's; a setting that is not listed keeps its name.
constexpr NameMapping kSettingNames[] = {
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

// Settings of one product.
constexpr NameMapping kProductNames[] = {
    {"on_time", given::kFirstFrameTarget}, {"deadline", given::kTimeLimit}, {"worth", given::kImportance},
    {"effect", given::kSetUpMode},         {"name", given::kName},
};

// Fields of a load report.
constexpr std::pair<NameMapping, std::optional<double> LoadReport::*> kLoadNames[] = {
    {{"active", given::kStreams}, &LoadReport::streams},
    {{"cpu", given::kLinkShare}, &LoadReport::link_share},
    {{"x0", given::kLink}, &LoadReport::link_demand},
    {{"x1", given::kUplink}, &LoadReport::uplink_demand}};

std::string find_engine_name(std::span<const NameMapping> mappings, std::string_view platform_name) {
  for (const NameMapping &mapping : mappings) {
    if (mapping.platform_name == platform_name) return std::string(mapping.engine_name);
  }
  return std::string(platform_name);
}

} // namespace

DecisionSettings translate_settings(std::span<const SettingField> fields) {
  DecisionSettings out;
  for (const auto &[name, value] : fields) {
    std::string_view suffix = name;
    std::string engine_name;
    if (name.starts_with("classes.") && name != "classes.count") {
      suffix.remove_prefix(8);
      std::size_t dot = suffix.find('.');
      if (dot == std::string_view::npos) continue;
      engine_name = "product." + std::string(suffix.substr(0, dot + 1)) +
                    find_engine_name(kProductNames, suffix.substr(dot + 1));
    } else {
      engine_name = find_engine_name(kSettingNames, name);
    }
    if (name == "report.names") {
      std::string engine_names;
      for_each_part(value, ',', [&](std::string_view item) {
        if (!engine_names.empty()) engine_names += ',';
        auto mapping =
            std::ranges::find(kLoadNames, item, [](const auto &entry) { return entry.first.platform_name; });
        engine_names += mapping == std::end(kLoadNames) ? item : mapping->first.engine_name;
      });
      out[engine_name] = engine_names;
    } else {
      out[engine_name] = std::string(value);
    }
  }
  return out;
}

std::string_view parse_load_report(std::string_view text, char separator, LoadReport &report) {
  std::string_view first_invalid;
  for_each_part(text, separator, [&](std::string_view pair) {
    std::size_t colon = pair.find(':');
    std::string_view value = colon == std::string_view::npos ? "" : pair.substr(colon + 1);
    auto number = parse_number(value);
    if (colon == std::string_view::npos || (!value.empty() && !number)) {
      if (first_invalid.empty()) first_invalid = pair.empty() ? std::string_view("an empty part") : pair;
      return;
    }
    for (const auto &[name, field] : kLoadNames) {
      if (number && name.platform_name == pair.substr(0, colon)) report.*field = number;
    }
  });
  return first_invalid;
}

} // namespace snowshore::given
