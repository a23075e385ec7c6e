/** Benchmarks of control messages: encoding time and frame size. */
#include <benchmark/benchmark.h>

#include "src/link.h"
#include "src/link_codec.h"

namespace dogwood::bench {
namespace {

/** Returns an attestation that covers `hosts` hosts. */
auto Attestation(std::int64_t hosts) -> std::unique_ptr<wire::vouchT> {
  auto attestation = std::make_unique<wire::vouchT>();
  attestation->known_offset = 1U << 20;
  attestation->covered.resize(static_cast<std::size_t>(hosts + 63) / 64, ~0ULL);
  attestation->age_us = 1000000;
  return attestation;
}

/** Encodes one pull and its reply, without records, in a fleet of N hosts. */
auto WirePull(benchmark::State& state) -> void {
  wire::tail_requestT request;
  request.host = "host-0123";
  request.daemon = "controld";
  request.from_offset = 1U << 20;
  request.limit = 1000;
  request.up = Attestation(state.range(0));
  request.echo_start = request.echo_stamp_us = 1ULL << 50;
  request.echo_elapsed_us = 500000;
  wire::tail_replyT reply;
  reply.first = reply.from = reply.next = 1U << 20;
  reply.age_us = 1000000;
  reply.proven = true;
  reply.start = reply.stamp_us = 1ULL << 50;
  reply.down = Attestation(state.range(0));
  const auto request_message = MakeMessage(std::move(request));
  const auto reply_message = MakeMessage(std::move(reply));
  for (auto _ : state) {
    const auto request_frame = EncodeFrame(1, request_message);
    const auto reply_frame = EncodeFrame(1, reply_message);
    state.counters["request_bytes"] = static_cast<double>(request_frame.size());
    state.counters["reply_bytes"] = static_cast<double>(reply_frame.size());
  }
}
BENCHMARK(WirePull)->RangeMultiplier(3)->Range(9, 729);

/** Encodes one grant request for N workspaces and its reply. */
auto WireGrant(benchmark::State& state) -> void {
  wire::grant_requestT request;
  request.host = "host-0123";
  wire::grant_replyT reply;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    auto ask = std::make_unique<wire::grant_askT>();
    ask->workspace = "workspace-" + std::to_string(i);
    ask->tokens = 3;
    auto report = std::make_unique<wire::lot_reportT>();
    report->lot = 1ULL << 60;
    report->used = 3;
    ask->reports.push_back(std::move(report));
    request.asks.push_back(std::move(ask));
    auto given = std::make_unique<wire::grant_givenT>();
    given->workspace = "workspace-" + std::to_string(i);
    given->lot = 1ULL << 60;
    given->tokens = 3;
    given->life_us = 1000000;
    reply.grants.push_back(std::move(given));
  }
  const auto request_message = MakeMessage(std::move(request));
  const auto reply_message = MakeMessage(std::move(reply));
  for (auto _ : state) {
    const auto request_frame = EncodeFrame(1, request_message);
    const auto reply_frame = EncodeFrame(1, reply_message);
    state.counters["request_bytes"] = static_cast<double>(request_frame.size());
    state.counters["reply_bytes"] = static_cast<double>(reply_frame.size());
  }
}
BENCHMARK(WireGrant)->RangeMultiplier(4)->Range(1, 64);

/** Encodes one report of the online requests on N servers. */
auto WireOnlineLoad(benchmark::State& state) -> void {
  wire::online_loadT report;
  report.host = "host-0123";
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    auto load = std::make_unique<wire::server_loadT>();
    load->server = "server-" + std::to_string(1000 + i);
    load->in_flight = 5;
    report.loads.push_back(std::move(load));
  }
  const auto message = MakeMessage(std::move(report));
  for (auto _ : state) {
    const auto sent = EncodeFrame(1, message);
    state.counters["bytes"] = static_cast<double>(sent.size());
  }
}
BENCHMARK(WireOnlineLoad)->RangeMultiplier(4)->Range(1, 64);

}  // namespace
}  // namespace dogwood::bench
