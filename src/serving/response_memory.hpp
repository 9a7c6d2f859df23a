/// @file Bounds the memory that this node uses for responses which it has not passed on yet.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace sailgate::serving {

/// Engines may send without end, to many requests at once. When the responses exceed the limit
/// together, the largest unfinished one is given up. Not thread-safe.
class ResponseMemory {
 public:
  explicit ResponseMemory(std::size_t limit) : limit_(limit) {}

  /// The bytes held of one response, until destruction.
  class Share {
   public:
    /// @param give_up stops the exchange; called at most once, not from within resize().
    Share(std::shared_ptr<ResponseMemory> memory, std::function<void()> give_up);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// @return false: the response must be given up.
    bool resize(std::size_t bytes);
    /// The response is complete and is not given up any more.
    void complete() { complete_ = true; }
    bool given_up() const { return given_up_; }

   private:
    friend class ResponseMemory;

    std::shared_ptr<ResponseMemory> memory_;  ///< calls may outlive their node
    std::function<void()> give_up_;
    std::size_t bytes_ = 0;
    bool complete_ = false;
    bool given_up_ = false;
  };

  /// Bytes held of all responses.
  std::size_t bytes() const { return bytes_; }
  /// Most bytes held at once since the start.
  std::size_t peak() const { return peak_; }

 private:
  /// The largest share that is not complete; nullptr if there is none.
  Share* largest_unfinished() const;
  void enforce_limit(const Share& growing);

  std::size_t limit_;
  std::size_t bytes_ = 0;
  std::size_t peak_ = 0;
  std::set<Share*> shares_;
};

}  // namespace sailgate::serving
