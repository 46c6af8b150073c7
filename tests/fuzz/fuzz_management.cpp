// Takes any bytes as the text of a path and as a Set request, which is decoded and applied to a document.
// Nothing crashes, a parsed path formats to text that parses to the same path, and an accepted request yields
// a document that validates unchanged. A rejected one throws ModelError.
#include "config/front_config.h"
#include "management/gnmi_codec.h"

#include <cstdint>
#include <cstdlib>

using namespace snowshore;

namespace {

const char *const kFrontRecord = R"(
name: "f"
list: {file: "l", catalogue: "c"}
fleet: {cells: 2, kinds: [{name: "k", places: 4}], link_per_weight: "4MB/s"}
products: [{name: "clip", first_frame_target: "800ms", time_limit: "1500ms", top: 1}]
rungs: [{rate: "100kB/s", importance: 0.2}, {rate: "200kB/s", importance: 0.5}]
rules: {warm_up: "200ms", cold_share: 1, fall_multiple: 20, fall_span: "1s"}
)";

struct Fixture {
  model::Model model;
  std::string document;
  Fixture() {
    records::Source file{"front.cue", kFrontRecord};
    document = model.to_document(config::parse_front_config({&file, 1}).record);
  }
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  static const Fixture fixture;
  static auto log_handler = google::protobuf::SetLogHandler(nullptr);
  (void)log_handler;
  std::string_view text(reinterpret_cast<const char *>(data), size);
  try {
    model::Path path = model::parse_path(text);
    if (model::parse_path(model::path_to_text(path)) != path) std::abort();
    if (!model::covers(path, path) && !model::has_wildcard(path)) std::abort();
    model::path_to_xpath(path);
    fixture.model.require_known_path(path);
  } catch (const model::ModelError &) {
  }
  gnmi::SetRequest request;
  if (!request.ParseFromArray(data, static_cast<int>(size))) return 0;
  try {
    management::decode_extension(request.extension());
    std::string next = fixture.model.edit(fixture.document, management::decode_edits(request));
    if (fixture.model.validate(next) != next) std::abort();
    records::Source file{"(edited)", fixture.model.to_record_text(next)};
    config::parse_front_config({&file, 1});
  } catch (const model::ModelError &) {
  } catch (const records::RecordError &) {
  }
  return 0;
}
