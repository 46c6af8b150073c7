// The built-in module's text; the build makes it from yang/snowshore.yang.
#pragma once

namespace snowshore::model {
extern const char *const kModuleText;
}
