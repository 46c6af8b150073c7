// Evaluates any bytes as a record file. The evaluation succeeds or throws RecordError with diagnostics, and a
// concrete value renders to text that evaluates to an equal value.
#include "records/records.h"

#include <cstdint>
#include <cstdlib>

using namespace snowshore::records;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  Source files[] = {{"fuzz.cue", std::string(reinterpret_cast<const char *>(data), size)}};
  try {
    ValuePtr value = evaluate(files);
    Diagnostics diagnostics;
    ValuePtr concrete = make_concrete(value, "", diagnostics);
    if (!diagnostics.empty()) return 0;
    Source rendered[] = {{"again.cue", render(*concrete)}};
    Diagnostics none;
    if (!equal(*make_concrete(evaluate(rendered), "", none), *concrete) || !none.empty()) std::abort();
  } catch (const RecordError &error) {
    if (error.diagnostics.empty()) std::abort();
  }
  return 0;
}
