#include "balancing/engine.hpp"

#include "base/digest.hpp"

namespace sailgate::balancing {

std::int32_t engine_key(const std::string& engine_id) {
  return static_cast<std::int32_t>(base::fast_digest(engine_id));
}

}  // namespace sailgate::balancing
