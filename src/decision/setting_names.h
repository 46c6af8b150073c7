// The names of the decision engine's settings and load fields, shared by all code that fills or reads them.
// Durations are seconds, rates are kB per second, and the items of a list are separated by commas. The value
// that a setting has for one product is stored under product_setting_name(index, name).
#pragma once
#include "decision/policy.h"

#include <string>
#include <string_view>

namespace snowshore::setting_names {

// Settings of the whole engine.
inline constexpr const char *kFronts = "fronts", *kFrontIndex = "front_index", *kHall = "hall",
                            *kHalls = "halls", *kKinds = "kinds", *kProducts = "products",
                            *kListMode = "list_mode", *kImportanceOverShare = "importance_over_share",
                            *kWeightMeaning = "weight_meaning", *kCells = "cells",
                            *kProductFloors = "product_floors", *kProductTops = "product_tops",
                            *kProductSeats = "product_seats", *kProductRateFactors = "product_rate_factors",
                            *kProductLive = "product_live", *kServerFullFrom = "server_full_from",
                            *kSharedViewerCost = "shared_viewer_adds", *kKindCapacities = "kind_places",
                            *kTotalLinkCapacity = "links_in_all", *kRacks = "racks",
                            *kRungRates = "rung_rates", *kRungImportance = "rung_importance",
                            *kFeedbackDelay = "note_delay", *kLinkFeedbackInterval = "link_note_interval",
                            *kShortfallCost = "shortfall_cost", *kRungStepCost = "rung_step_cost",
                            *kRackUplink = "rack_uplink", *kLinkPerWeight = "link_per_weight",
                            *kAllocationsPerPlay = "allocations_per_play", *kMayRecall = "may_recall",
                            *kMayProbe = "may_probe", *kMayAdviseReturn = "may_advise_return",
                            *kLongestRetryAfter = "longest_retry_after", *kMovePrice = "move_price",
                            *kProbePrice = "probe_price", *kCrossHallPrice = "cross_hall_price",
                            *kLateFailurePrice = "late_failure_price", *kLoadReportSource = "load_comes_with",
                            *kLoadFields = "load_fields", *kWarmUp = "warm_up", *kColdShare = "cold_share",
                            *kColdOverloadMultiple = "fall_multiple", *kColdOverloadWindow = "fall_span",
                            *kDrainGrace = "drain_grace", *kRetryShare = "further_share",
                            *kFreeRetries = "further_free", *kRetryWindow = "further_span",
                            *kAnswerSlack = "answer_slack";

// Settings of one product.
inline constexpr const char *kFirstFrameTarget = "first_frame_target", *kTimeLimit = "time_limit",
                            *kImportance = "importance", *kSetUpMode = "set_up", *kName = "name";

// Fields of a load report.
inline constexpr const char *kStreams = "streams", *kLinkShare = "link_share", *kLink = "link",
                            *kUplink = "uplink";

inline std::string product_setting_name(std::size_t index, std::string_view name) {
  return "product." + std::to_string(index) + "." + std::string(name);
}

// The written names of outcomes, in the order of the enumerators.
inline constexpr std::string_view kOutcomeNames[] = {"done",        "error", "busy",     "timed_out",
                                                     "unreachable", "reset", "recalled", "skipped"};
inline std::string_view name_of(Outcome outcome) { return kOutcomeNames[static_cast<int>(outcome)]; }

} // namespace snowshore::setting_names
