// Conversion between gNMI messages and the model's paths, values and edits. The decode functions throw
// model::ModelError for what the model or the service does not support.
#pragma once
#include "gnmi.pb.h"
#include "model/model.h"

#include <optional>

namespace snowshore::management {

// Joins the prefix and the path. Throws for an origin other than the model's.
model::Path decode_path(const gnmi::Path &prefix, const gnmi::Path &path);
void encode_path(const model::Path &path, gnmi::Path &into);
// `at` is the path that errors name.
model::Json decode_value(const gnmi::TypedValue &value, const model::Path &at);
// Encodes the value as json_ietf_val.
void encode_value(const model::Json &value, gnmi::TypedValue &into);
// Returns the edits in the order in which gNMI applies them: deletes, replaces, updates.
std::vector<model::Edit> decode_edits(const gnmi::SetRequest &request);
// Whether the encoding is JSON or JSON_IETF. Both are written according to RFC 7951.
bool is_supported(gnmi::Encoding encoding);

// The fields that accompany gNMI's own (revision, cause, name, resume, roll_back) travel as one JSON object
// in a registered extension with the experimental id. decode_extension returns an empty object if there is
// none.
model::Json decode_extension(const google::protobuf::RepeatedPtrField<gnmi_ext::Extension> &extensions);
void encode_extension(const model::Json &fields,
                      google::protobuf::RepeatedPtrField<gnmi_ext::Extension> &into);
// Returns the field as a number, or nullopt if it is absent. Throws for a value of another type.
std::optional<std::uint64_t> optional_uint64(const model::Json &fields, const char *name);

} // namespace snowshore::management
