#include "scheduling/backend_directory.hpp"

namespace sailgate::scheduling {

void BackendDirectory::add(Backend backend) {
  auto id = backend.id;
  backends_[std::move(id)].backend = std::move(backend);
}

void BackendDirectory::set_leaving(const std::string& id, bool leaving) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) found->second.leaving = leaving;
}

void BackendDirectory::set_reported_load(const std::string& id, std::int32_t load,
                                         base::Millis now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  found->second.reported_load = load;
  found->second.reported_at = now;
}

void BackendDirectory::attempt_started(const std::string& id) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) ++found->second.outstanding;
}

void BackendDirectory::attempt_ended(const std::string& id) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.outstanding > 0) --found->second.outstanding;
}

const BackendState* BackendDirectory::find(const std::string& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

}  // namespace sailgate::scheduling
