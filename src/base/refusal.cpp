#include "base/refusal.hpp"

#include "base/error_table.hpp"

namespace sailgate::base {

wire::Refusal make_refusal(wire::ErrorKind::type kind) {
  return make_refusal(kind, error_answer(kind).ran);
}

wire::Refusal make_refusal(wire::ErrorKind::type kind, wire::Ran::type ran) {
  wire::Refusal refusal;
  refusal.kind = kind;
  refusal.retry_after_ms = error_answer(kind).retry_after;
  refusal.ran = ran;
  return refusal;
}

}  // namespace sailgate::base
