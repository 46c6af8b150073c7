// gNMI's messages and the model's values, each way. Throws model::Fault for what cannot be meant.
#pragma once
#include "gnmi.pb.h"
#include "model/model.h"

#include <optional>

namespace snowshore::management {

model::Path decode_path(const gnmi::Path &prefix, const gnmi::Path &path); // joined; origin checked
void encode_path(const model::Path &path, gnmi::Path &into);
model::Json decode_value(const gnmi::TypedValue &value, const model::Path &at);
void encode_value(const model::Json &value, gnmi::TypedValue &into); // as json_ietf
std::vector<model::Edit> decode_edits(const gnmi::SetRequest &request);
bool is_supported(gnmi::Encoding encoding); // JSON and JSON_IETF, both written as RFC 7951 has it

// What goes beside gNMI's own fields, as a registered extension of JSON: revisions, resuming, roll-backs.
model::Json decode_extension(const google::protobuf::RepeatedPtrField<gnmi_ext::Extension> &extensions);
void encode_extension(const model::Json &more, google::protobuf::RepeatedPtrField<gnmi_ext::Extension> &into);
std::optional<std::uint64_t> optional_uint64(const model::Json &more, const char *name);

} // namespace snowshore::management
