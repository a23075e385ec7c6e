/** dogwood_load: load generator that runs a load plan and prints a JSON report.
 */
#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "src/load_func.h"
#include "src/load_report.h"
#include "src/load_run.h"

namespace {

/** Parses the command line, runs the plan and writes the report. */
auto Run(int argc, char** argv) -> int {
  cxxopts::Options options("dogwood_load",
                           "Open-loop load generator for a fleet.");
  auto add = options.add_options();
  add("plan", "file with the load plan (JSON)", cxxopts::value<std::string>());
  add("out", "file for the report; default: standard output",
      cxxopts::value<std::string>());
  add("help", "prints this text");
  const auto given = options.parse(argc, argv);
  if (given.count("help") != 0 || given.count("plan") == 0) {
    std::cout << options.help();
    return given.count("help") != 0 ? 0 : 2;
  }
  std::ifstream file(given["plan"].as<std::string>());
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto plan = dogwood::ParseLoadPlan(text);
  if (!plan) {
    std::cerr << given["plan"].as<std::string>() << ": " << plan.error().message
              << "\n";
    return 2;
  }
  const auto stats = dogwood::RunLoad(*plan);
  if (!stats) {
    std::cerr << stats.error().message << "\n";
    return 1;
  }
  const auto report = boost::json::serialize(dogwood::ReportOf(*plan, *stats));
  if (given.count("out") != 0) {
    std::ofstream(given["out"].as<std::string>()) << report << "\n";
  } else {
    std::cout << report << "\n";
  }
  return 0;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return 2;
  }
}
