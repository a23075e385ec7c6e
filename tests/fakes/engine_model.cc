#include "tests/fakes/engine_model.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "src/core.h"

namespace dogwood::fakes {
namespace {

/** Hexadecimal digits of the hash that identify a prefix. */
constexpr std::size_t kHashDigits = 16;

/** Returns the hashes of the prompt's prefixes, one for each full block. */
auto BlockHashes(const std::vector<std::string>& prompt)
    -> std::vector<std::string> {
  std::vector<std::string> hashes;
  std::string text;
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    text += prompt[i];
    text += ' ';
    if ((i + 1) % kPrefixBlockTokens == 0) {
      // Hashing the previous hash with the next block keeps the cost linear in
      // the length of the prompt.
      text = Sha256Hex(text);
      hashes.push_back(text.substr(0, kHashDigits));
    }
  }
  return hashes;
}

}  // namespace

auto prefix_cache::Access(const std::vector<std::string>& prompt,
                          std::vector<std::string>& added,
                          std::vector<std::string>& evicted) -> std::size_t {
  const auto hashes = BlockHashes(prompt);
  std::size_t hits = 0;
  while (hits < hashes.size() && Contains(hashes[hits])) {
    ++hits;
  }
  for (std::size_t i = 0; i < hashes.size(); ++i) {
    if (i >= hits) {
      added.push_back(hashes[i]);
    }
    Insert(hashes[i], evicted);
  }
  return hits * kPrefixBlockTokens;
}

auto prefix_cache::Insert(const std::string& hash,
                          std::vector<std::string>& evicted) -> void {
  const auto found = index_.find(hash);
  if (found != index_.end()) {
    order_.splice(order_.begin(), order_, found->second);
    return;
  }
  order_.push_front(hash);
  index_[hash] = order_.begin();
  while (index_.size() > capacity_) {
    evicted.push_back(order_.back());
    index_.erase(order_.back());
    order_.pop_back();
  }
}

auto batch_engine::Submit(sequence_ptr seq) -> void {
  waiting_.push_back(std::move(seq));
}

auto batch_engine::Cancel(const sequence_ptr& seq) -> void {
  seq->cancelled = true;
  std::erase(waiting_, seq);
  std::erase(running_, seq);
}

auto batch_engine::BeginStep() -> double {
  while (!waiting_.empty() && running_.size() < costs_.slots) {
    running_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  if (running_.empty()) {
    return 0;
  }
  double time = costs_.base_ms +
                costs_.per_sequence_ms * static_cast<double>(running_.size());
  std::vector<std::string> added;
  std::vector<std::string> evicted;
  for (const auto& s : running_) {
    if (!s->prefilled) {
      const auto cached = cache_.Access(s->prompt, added, evicted);
      time +=
          costs_.prefill_ms * static_cast<double>(s->prompt.size() - cached);
      s->prefilled = true;
    }
  }
  for (auto& hash : added) {
    events_.emplace_back(std::move(hash), "added");
  }
  for (auto& hash : evicted) {
    events_.emplace_back(std::move(hash), "evicted");
  }
  return time;
}

auto batch_engine::EndStep() -> void {
  for (const auto& s : running_) {
    if (s->prefilled) {
      ++s->produced;
    }
  }
  std::erase_if(running_, [](const auto& s) { return s->IsFinished(); });
}

auto batch_engine::DrainCacheEvents()
    -> std::vector<std::pair<std::string, std::string>> {
  return std::exchange(events_, {});
}

auto SplitWords(std::string_view text) -> std::vector<std::string> {
  std::istringstream stream{std::string(text)};
  std::vector<std::string> words;
  std::string word;
  while (stream >> word) {
    words.push_back(word);
  }
  return words;
}

auto TokenText(const std::string& text_key, std::uint64_t index)
    -> std::string {
  return (index == 0 ? "" : " ") + text_key + "-" + std::to_string(index);
}

}  // namespace dogwood::fakes
