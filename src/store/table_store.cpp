#include "store/table_store.hpp"

namespace sailgate::store {

const char* name_of(StoreStatus status) {
  switch (status) {
    case StoreStatus::kDone:
      return "done";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kUnknown:
      return "unanswered";
    case StoreStatus::kHistoryLost:
      return "history_lost";
    case StoreStatus::kFull:
      return "full";
    case StoreStatus::kThrottled:
      return "throttled";
  }
  return "unreadable";
}

}  // namespace sailgate::store
