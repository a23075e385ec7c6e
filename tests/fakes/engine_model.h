/** Model of continuous batching for fake_engine. It uses no sockets and no
 * clock: the caller runs the steps and waits for the time they take. */
#ifndef TESTS_FAKES_ENGINE_MODEL_H_
#define TESTS_FAKES_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/unit_type.h"

namespace dogwood::fakes {

/** Step costs in ms and capacities of the model. */
struct engine_costs {
  unsigned slots = 8;            ///< Sequences that run concurrently.
  double base_ms = 4;            ///< Fixed cost of a step.
  double per_sequence_ms = 0.5;  ///< Cost per running sequence and step.
  double prefill_ms = 0.2;       ///< Cost per prompt token that is not cached.
  std::size_t cached_prefixes = 64;  ///< Capacity of the prefix cache.
};

/** Number of prompt words in one block of the prefix cache. */
constexpr std::size_t kPrefixBlockTokens = 16;

/** LRU cache of the prompt prefixes whose KV blocks are held. */
class prefix_cache {
 public:
  explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  /** Caches all full blocks of `prompt` and returns how many of its leading
   * tokens were cached before. Appends the hashes that were added and evicted
   * to `added` and `evicted`. */
  auto Access(const std::vector<std::string>& prompt,
              std::vector<std::string>& added,
              std::vector<std::string>& evicted) -> std::size_t;
  /** Caches the prefix with this hash, or marks it as most recently used.
   * Appends the hashes that were evicted to `evicted`. */
  auto Insert(const std::string& hash, std::vector<std::string>& evicted)
      -> void;
  auto Contains(const std::string& hash) const -> bool {
    return index_.contains(hash);
  }
  auto Size() const -> std::size_t { return index_.size(); }

 private:
  std::size_t capacity_;
  std::list<std::string> order_;  // Most recently used first.
  std::map<std::string, std::list<std::string>::iterator> index_;
};

/** One generation request in the batch. */
struct sequence {
  std::string request_id;           ///< X-Request-Id, or a generated id.
  std::string text_key;             ///< Prefix of every token; see TokenText().
  std::vector<std::string> prompt;  ///< Words of the prompt.
  std::uint64_t produced = 0;       ///< Tokens generated so far.
  std::uint64_t max_tokens = 16;    ///< Number of tokens to generate.
  bool prefilled = false;           ///< The prompt has been processed.
  bool cancelled = false;           ///< No more tokens are generated.

  auto IsFinished() const -> bool { return produced >= max_tokens; }
};

using sequence_ptr = std::shared_ptr<sequence>;

/** Batch of running sequences with a FIFO queue for those beyond the slots;
 * there are no priorities. */
class batch_engine {
 public:
  explicit batch_engine(const engine_costs& costs)
      : costs_(costs), cache_(costs.cached_prefixes) {}

  /** Appends a sequence to the queue. */
  auto Submit(sequence_ptr seq) -> void;
  /** Cancels a sequence and frees its slot. */
  auto Cancel(const sequence_ptr& seq) -> void;
  /** Fills the free slots from the queue and returns the duration of the next
   * step in ms, or 0 if no sequence is running. */
  auto BeginStep() -> double;
  /** Generates one token for each prefilled sequence and frees the slots of
   * finished ones. */
  auto EndStep() -> void;

  auto Running() const -> std::size_t { return running_.size(); }
  auto Waiting() const -> std::size_t { return waiting_.size(); }
  auto Cache() -> prefix_cache& { return cache_; }
  /** Returns the cache changes since the last call as pairs of a hash and
   * "added" or "evicted". */
  auto DrainCacheEvents() -> std::vector<std::pair<std::string, std::string>>;

 private:
  engine_costs costs_;
  prefix_cache cache_;
  std::vector<sequence_ptr> running_;
  std::deque<sequence_ptr> waiting_;
  std::vector<std::pair<std::string, std::string>> events_;
};

/** Splits a text at white space. */
auto SplitWords(std::string_view text) -> std::vector<std::string>;

/** Returns token `index` of the response with key `text_key`, such as
 * " 1f2e3d4c-2". The key is the first 8 hex digits of the prompt's SHA-256, so
 * that a test can match a response to its prompt. */
auto TokenText(const std::string& text_key, std::uint64_t index) -> std::string;

}  // namespace dogwood::fakes

#endif  // TESTS_FAKES_ENGINE_MODEL_H_
