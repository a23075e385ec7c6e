/** Continuous batching as fake_engine models it; no sockets and no clock. */
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

/** Costs and sizes of the model. */
struct engine_costs {
  unsigned slots = 8;                ///< Sequences that run at once.
  double base_ms = 4;                ///< Each step.
  double per_sequence_ms = 0.5;      ///< Each running sequence in a step.
  double prefill_ms = 0.2;           ///< Each prompt token not in the cache.
  std::size_t cached_prefixes = 64;  ///< Prefixes kept.
};

/** Words of a prompt that form one block of the prefix cache. */
constexpr std::size_t kPrefixBlockTokens = 16;

/** Prompt prefixes whose KV blocks are held; the least recently used goes
 * first. */
class prefix_cache {
 public:
  explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  /** Number of leading tokens of `prompt` that are cached; caches all its
   * blocks. Appends the hashes added and evicted. */
  auto Use(const std::vector<std::string>& prompt,
           std::vector<std::string>& added,
           std::vector<std::string>& evicted) -> std::size_t;
  /** Adds one prefix by hash. */
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

/** One sequence. */
struct sequence {
  std::string request_id;           ///< X-Request-Id, or one made here.
  std::string text_key;             ///< Prefix of every token of its text.
  std::vector<std::string> prompt;  ///< Words of the prompt.
  std::uint64_t produced = 0;       ///< Tokens made so far.
  std::uint64_t max_tokens = 16;    ///< Tokens after which it is finished.
  bool prefilled = false;           ///< Its prompt has been computed.
  bool cancelled = false;           ///< Gets no more tokens.

  auto IsFinished() const -> bool { return produced >= max_tokens; }
};

using sequence_ptr = std::shared_ptr<sequence>;

/** Running and waiting sequences. Requests beyond the slots wait in order of
 * arrival; there are no priorities. */
class batch_engine {
 public:
  explicit batch_engine(const engine_costs& costs)
      : costs_(costs), cache_(costs.cached_prefixes) {}

  /** Adds a sequence to the end of the queue. */
  auto Submit(sequence_ptr added) -> void;
  /** Ends a sequence early. */
  auto Cancel(const sequence_ptr& ended) -> void;
  /** Fills free slots and returns how long the next step takes in ms, or 0 if
   * nothing runs. */
  auto BeginStep() -> double;
  /** Gives each sequence of the step a token and frees the slots of finished
   * ones. */
  auto EndStep() -> void;

  auto Running() const -> std::size_t { return running_.size(); }
  auto Waiting() const -> std::size_t { return waiting_.size(); }
  auto Cache() -> prefix_cache& { return cache_; }
  /** Cache changes since the last call: hash with "added" or "evicted". */
  auto TakeCacheEvents() -> std::vector<std::pair<std::string, std::string>>;

 private:
  engine_costs costs_;
  prefix_cache cache_;
  std::vector<sequence_ptr> running_;
  std::deque<sequence_ptr> waiting_;
  std::vector<std::pair<std::string, std::string>> events_;
};

/** Words of a text, split at white space. */
auto SplitWords(std::string_view text) -> std::vector<std::string>;

/** Token `index` of the answer with key `text_key`, such as " 1f2e3d4c-2". The
 * key is the first 8 hex digits of the prompt's SHA-256, so that a test can
 * tell whose answer it has. */
auto TokenText(const std::string& text_key, std::uint64_t index) -> std::string;

}  // namespace dogwood::fakes

#endif  // TESTS_FAKES_ENGINE_MODEL_H_
