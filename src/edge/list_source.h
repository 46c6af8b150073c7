// Where the front learns of servers and of what they hold. A file source watches two record files; a registry
// will stand behind the same interface. Calls come on the executor, never from within start() or ask().
#pragma once
#include "decision/policy.h"
#include "http/server.h"
#include "registry/listed_server.h"

#include <asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snowshore::edge {

using registry::ListedServer;
using registry::ServerList;

struct TitlePlace { // the cells that hold a title
  int first_cell = 0, cells = 0;
};
using Catalogue = std::map<std::string, TitlePlace, std::less<>>;

class ListSource {
 public:
  struct Events {
    std::function<void(ServerList)> list;     // the whole list, in place of the last
    std::function<void(ServerList)> changes;  // the servers that changed since; only after a whole list
    std::function<void(Catalogue)> catalogue; // likewise
    std::function<void(const std::string &why)> unavailable; // the last in hand stays in force
  };
  virtual ~ListSource() = default;
  virtual void start(Events events) = 0;
  virtual void ask() = 0; // for the list anew; answers by an event
  virtual bool polls() const { return false; }
};

// Watches both files' folders (inotify), so that a file written beside and renamed over is seen whole; where
// the system has no watch left to give, polls them.
std::unique_ptr<ListSource> watch_files(asio::io_context &io, const std::string &list,
                                        const std::string &catalogue);

std::unique_ptr<ListSource> poll_files(asio::io_context &io, const std::string &list,
                                       const std::string &catalogue);

// The records' reading, apart from the watching. Throw records::RecordError.
ServerList read_list(const std::string &name, const std::string &text);
Catalogue read_catalogue(const std::string &name, const std::string &text);

} // namespace snowshore::edge
