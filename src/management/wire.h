// gNMI's messages and the model's values, each way. Throws model::Fault for what cannot be meant.
#pragma once
#include "gnmi.pb.h"
#include "model/model.h"

#include <optional>

namespace snowshore::management {

model::Path read_path(const gnmi::Path &prefix, const gnmi::Path &path); // joined; origin checked
void write_path(const model::Path &path, gnmi::Path &into);
model::Json read_value(const gnmi::TypedValue &value, const model::Path &at);
void write_value(const model::Json &value, gnmi::TypedValue &into); // as json_ietf
std::vector<model::Edit> read_edits(const gnmi::SetRequest &request);
bool served(gnmi::Encoding encoding); // JSON and JSON_IETF, both written as RFC 7951 has it

// What goes beside gNMI's own fields, as a registered extension of JSON: revisions, resuming, roll-backs.
model::Json read_more(const google::protobuf::RepeatedPtrField<gnmi_ext::Extension> &extensions);
void write_more(const model::Json &more, google::protobuf::RepeatedPtrField<gnmi_ext::Extension> &into);
std::optional<std::uint64_t> whole(const model::Json &more, const char *name);

} // namespace snowshore::management
