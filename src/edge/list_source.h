// Sources of the server list and of the title catalogue. This file declares the interface and the source that
// reads two record files; discovery::Client is another implementation. Events come on the executor, never
// from within start() or request_list().
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

// The cells that hold a title: this many, from first_cell on.
struct TitleCells {
  int first_cell = 0, cell_count = 0;
};
// Titles by name.
using Catalogue = std::map<std::string, TitleCells, std::less<>>;

// Reports the server list, its changes and the catalogue from start() on.
class ListSource {
 public:
  struct Events {
    // A whole list, which replaces the previous one.
    std::function<void(ServerList)> list;
    // The servers that changed since the previous list or change; comes only after a whole list.
    std::function<void(ServerList)> changes;
    // A whole catalogue, which replaces the previous one.
    std::function<void(Catalogue)> catalogue;
    // The source cannot be read; the previous list stays in force.
    std::function<void(const std::string &reason)> unavailable;
  };
  virtual ~ListSource() = default;
  virtual void start(Events events) = 0;
  // Requests the whole list; the result comes as an event.
  virtual void request_list() = 0;
  // While paused, the source takes in no more than what it has begun, since what it gave has yet to be
  // applied.
  virtual void set_paused(bool) {}
  // Returns whether the source polls because it cannot watch for changes.
  virtual bool is_polling() const { return false; }
};

// Makes a source that watches the folders of both files with inotify, so that a file which is replaced by a
// rename is read whole. Where the system has no inotify watch left, the source polls the files.
std::unique_ptr<ListSource> watch_files(asio::io_context &io, const std::string &list,
                                        const std::string &catalogue);

// Makes a source that polls both files.
std::unique_ptr<ListSource> poll_files(asio::io_context &io, const std::string &list,
                                       const std::string &catalogue);

// Parse the text of a record file; `name` stands in error messages. They throw records::RecordError.
ServerList parse_server_list(const std::string &name, const std::string &text);
Catalogue parse_catalogue(const std::string &name, const std::string &text);

} // namespace snowshore::edge
