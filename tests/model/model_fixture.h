// A front's record and the built-in model, for the tests of model and management.
#pragma once
#include "config/front_config.h"
#include "model/model.h"

namespace snowshore::testing {

inline const char *const kFrontRecord = R"(
name: "edge-1"
list: {file: "list.cue", catalogue: "titles.cue"}
fleet: {cells: 4, kinds: [{name: "small", places: 24}], link_per_weight: "25MB/s"}
products: [{name: "film", first_frame_target: "800ms", time_limit: "4s", top: 1},
           {name: "live", first_frame_target: "1s", time_limit: "2s", top: 0, seats: 5}]
rungs: [{rate: "200kB/s", importance: 0.2}, {rate: "450kB/s", importance: 1}]
rules: {warm_up: "12s", cold_share: 0.5, fall_multiple: 2, fall_span: "2s"}
)";

inline config::FrontConfig front_record(const std::string &more = "") {
  records::Source files[] = {{"front.cue", kFrontRecord}, {"more.cue", more}};
  return config::parse_front_config(files);
}

inline const model::Model &test_model() {
  static const model::Model model;
  return model;
}

} // namespace snowshore::testing
