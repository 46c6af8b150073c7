// The names of what the module is given, for all who give it: one word in one place. Durations are seconds,
// rates kB a second; lists are joined by commas. Products' own values stand under product_value(index, name).
#pragma once
#include "decision/policy.h"

#include <string>
#include <string_view>

namespace snowshore::given {

inline constexpr const char *kFronts = "fronts", *kFrontIndex = "front_index", *kHall = "hall",
                            *kHalls = "halls", *kKinds = "kinds", *kProducts = "products",
                            *kListMode = "list_mode", *kImportanceOverShare = "importance_over_share",
                            *kWeightMeaning = "weight_meaning", *kCells = "cells",
                            *kProductFloors = "product_floors", *kProductTops = "product_tops",
                            *kProductSeats = "product_seats", *kProductRateFactors = "product_rate_factors",
                            *kProductLive = "product_live", *kServerFullFrom = "server_full_from",
                            *kSharedViewerAdds = "shared_viewer_adds", *kKindPlaces = "kind_places",
                            *kLinksInAll = "links_in_all", *kRacks = "racks", *kRungRates = "rung_rates",
                            *kRungImportance = "rung_importance", *kNoteDelay = "note_delay",
                            *kLinkNoteInterval = "link_note_interval", *kShortfallCost = "shortfall_cost",
                            *kRungStepCost = "rung_step_cost", *kRackUplink = "rack_uplink",
                            *kLinkPerWeight = "link_per_weight",
                            *kAllocationsPerPlay = "allocations_per_play", *kMayRecall = "may_recall",
                            *kMayProbe = "may_probe", *kMayAdviseReturn = "may_advise_return",
                            *kLongestRetryAfter = "longest_retry_after", *kMovePrice = "move_price",
                            *kProbePrice = "probe_price", *kCrossHallPrice = "cross_hall_price",
                            *kLateFailurePrice = "late_failure_price", *kLoadComesWith = "load_comes_with",
                            *kLoadFields = "load_fields", *kWarmUp = "warm_up", *kColdShare = "cold_share",
                            *kFallMultiple = "fall_multiple", *kFallSpan = "fall_span",
                            *kDrainGrace = "drain_grace", *kFurtherShare = "further_share",
                            *kFurtherFree = "further_free", *kFurtherSpan = "further_span",
                            *kAnswerSlack = "answer_slack";

inline constexpr const char *kFirstFrameTarget = "first_frame_target", *kTimeLimit = "time_limit",
                            *kImportance = "importance", *kSetUp = "set_up", *kName = "name";

inline constexpr const char *kStreams = "streams", *kLinkShare = "link_share", *kLink = "link",
                            *kUplink = "uplink";

inline std::string product_value(std::size_t index, std::string_view name) {
  return "product." + std::to_string(index) + "." + std::string(name);
}

inline constexpr std::string_view kOutcomeNames[] = {"done",        "error", "busy",     "timed_out",
                                                     "unreachable", "reset", "recalled", "skipped"};
inline std::string_view name_of(Outcome outcome) { return kOutcomeNames[static_cast<int>(outcome)]; }

} // namespace snowshore::given
