// Bytes from management clients: paths as text, and whole Set requests decoded and applied to a document.
// Nothing crashes; a path that is read is written the same; a set is taken whole and stays taken, or leaves a
// Fault.
#include "management/wire.h"
#include "site/front_record.h"

#include <cstdint>
#include <cstdlib>

using namespace snowshore;

namespace {

const char *const kText = R"(
name: "f"
list: {file: "l", catalogue: "c"}
fleet: {cells: 2, kinds: [{name: "k", places: 4}], link_per_weight: "4MB/s"}
products: [{name: "clip", first_frame_target: "800ms", time_limit: "1500ms", top: 1}]
rungs: [{rate: "100kB/s", importance: 0.2}, {rate: "200kB/s", importance: 0.5}]
rules: {warm_up: "200ms", cold_share: 1, fall_multiple: 20, fall_span: "1s"}
)";

struct World {
  model::Model model;
  std::string document;
  World() {
    records::Source file{"front.cue", kText};
    document = model.to_document(site::parse_front_config({&file, 1}).record);
  }
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  static const World world;
  static auto quiet = google::protobuf::SetLogHandler(nullptr);
  (void)quiet;
  std::string_view text(reinterpret_cast<const char *>(data), size);
  try {
    model::Path path = model::parse_path(text);
    if (model::parse_path(model::path_to_text(path)) != path) std::abort();
    if (!model::covers(path, path) && !model::has_wildcard(path)) std::abort();
    model::path_to_xpath(path);
    world.model.require_known_path(path);
  } catch (const model::ModelError &) {
  }
  gnmi::SetRequest request;
  if (!request.ParseFromArray(data, static_cast<int>(size))) return 0;
  try {
    management::decode_extension(request.extension());
    std::string next = world.model.edit(world.document, management::decode_edits(request));
    if (world.model.validate(next) != next) std::abort();
    records::Source file{"(edited)", world.model.to_record_text(next)};
    site::parse_front_config({&file, 1});
  } catch (const model::ModelError &) {
  } catch (const records::RecordError &) {
  }
  return 0;
}
