// The text of the built-in YANG module. The build generates its definition from yang/snowshore.yang.
#pragma once

namespace snowshore::model {
extern const char *const kModuleText;
}
