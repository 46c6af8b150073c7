// Any text is read as records or refused with places; what is read renders to text that reads back equal.
#include "records/records.h"

#include <cstdint>
#include <cstdlib>

using namespace snowshore::records;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  Source files[] = {{"fuzz.cue", std::string(reinterpret_cast<const char *>(data), size)}};
  try {
    ValuePtr value = evaluate(files);
    Diagnostics diagnostics;
    ValuePtr settled = make_concrete(value, "", diagnostics);
    if (!diagnostics.empty()) return 0;
    Source again[] = {{"again.cue", render(*settled)}};
    Diagnostics none;
    if (!equal(*make_concrete(evaluate(again), "", none), *settled) || !none.empty()) std::abort();
  } catch (const RecordError &error) {
    if (error.diagnostics.empty()) std::abort();
  }
  return 0;
}
