#include "src/link_table.h"

#include "src/net.h"

namespace dogwood {

auto link_table::Get(const std::string& address)
    -> std::shared_ptr<link_client> {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return nullptr;
  }
  const std::lock_guard lock(mutex_);
  auto& link = links_[address];
  if (!link) {
    link = std::make_shared<link_client>(io_, self_, endpoint.value());
  }
  return link;
}

auto link_table::Keep(const std::set<std::string>& used) -> void {
  const std::lock_guard lock(mutex_);
  std::erase_if(links_,
                [&used](const auto& row) { return !used.contains(row.first); });
}

auto link_table::Size() -> std::size_t {
  const std::lock_guard lock(mutex_);
  return links_.size();
}

}  // namespace dogwood
