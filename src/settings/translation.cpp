#include "settings/translation.h"
#include "decision/setting_names.h"

#include <algorithm>
#include <iterator>

namespace snowshore::settings {

namespace {

struct NameMapping {
  std::string_view platform_name, engine_name;
};

// The platform's name of each setting and the engine's; a setting that is not listed keeps its name.
constexpr NameMapping kSettingNames[] = {
    {"group_size", setting_names::kFronts},
    {"index", setting_names::kFrontIndex},
    {"my_zone", setting_names::kHall},
    {"areas", setting_names::kHalls},
    {"skus", setting_names::kKinds},
    {"classes.count", setting_names::kProducts},
    {"discovery", setting_names::kListMode},
    {"over_share_worth", setting_names::kImportanceOverShare},
    {"weights", setting_names::kWeightMeaning},
    {"family_info.cells", setting_names::kCells},
    {"family_info.class_floor", setting_names::kProductFloors},
    {"family_info.class_top", setting_names::kProductTops},
    {"family_info.class_seats", setting_names::kProductSeats},
    {"family_info.rate_factor", setting_names::kProductRateFactors},
    {"family_info.is_live", setting_names::kProductLive},
    {"family_info.full_from", setting_names::kServerFullFrom},
    {"family_info.join_adds", setting_names::kSharedViewerCost},
    {"family_info.kind_slots", setting_names::kKindCapacities},
    {"family_info.links_kb", setting_names::kTotalLinkCapacity},
    {"family_info.groups", setting_names::kRacks},
    {"family_info.ladder_kb", setting_names::kRungRates},
    {"family_info.worth_by_rung", setting_names::kRungImportance},
    {"family_info.seen_after", setting_names::kFeedbackDelay},
    {"family_info.reports_every", setting_names::kLinkFeedbackInterval},
    {"family_info.shortfall_cost", setting_names::kShortfallCost},
    {"family_info.switch_cost_s", setting_names::kRungStepCost},
    {"family_info.rack_link_kb", setting_names::kRackUplink},
    {"family_info.link_unit_kb", setting_names::kLinkPerWeight},
    {"limits.attempts_cap", setting_names::kAllocationsPerPlay},
    {"limits.cancel", setting_names::kMayRecall},
    {"limits.probes", setting_names::kMayProbe},
    {"limits.retry_after", setting_names::kMayAdviseReturn},
    {"limits.max_retry_after", setting_names::kLongestRetryAfter},
    {"prices.moves", setting_names::kMovePrice},
    {"prices.probe", setting_names::kProbePrice},
    {"prices.cross_zone", setting_names::kCrossHallPrice},
    {"prices.late_fail", setting_names::kLateFailurePrice},
    {"report.how", setting_names::kLoadReportSource},
    {"report.names", setting_names::kLoadFields},
    {"rules.cold", setting_names::kWarmUp},
    {"rules.cold_from", setting_names::kColdShare},
    {"rules.fall_multiple", setting_names::kColdOverloadMultiple},
    {"rules.tip_after", setting_names::kColdOverloadWindow},
    {"rules.stop_sending_within", setting_names::kDrainGrace},
    {"rules.repeat_ratio", setting_names::kRetryShare},
    {"rules.free_resends", setting_names::kFreeRetries},
    {"rules.budget_span", setting_names::kRetryWindow},
    {"rules.answer_slack", setting_names::kAnswerSlack},
};

// Settings of one product.
constexpr NameMapping kProductNames[] = {
    {"on_time", setting_names::kFirstFrameTarget},
    {"deadline", setting_names::kTimeLimit},
    {"worth", setting_names::kImportance},
    {"effect", setting_names::kSetUpMode},
    {"name", setting_names::kName},
};

// Fields of a load report.
constexpr std::pair<NameMapping, std::optional<double> LoadReport::*> kLoadNames[] = {
    {{"active", setting_names::kStreams}, &LoadReport::streams},
    {{"cpu", setting_names::kLinkShare}, &LoadReport::link_share},
    {{"x0", setting_names::kLink}, &LoadReport::link_demand},
    {{"x1", setting_names::kUplink}, &LoadReport::uplink_demand}};

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

} // namespace snowshore::settings
