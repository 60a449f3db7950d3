// @file admission_test.cc Tests of the admission policies.
#include <doctest/doctest.h>

#include <map>
#include <pcg_random.hpp>

#include "src/admission/admission.h"

namespace medlargauge {
namespace {

AdmissionInput MakeInput(const std::vector<uint32_t>& loads, size_t self) {
  AdmissionInput input;
  input.self = self;
  for (size_t i = 0; i < loads.size(); ++i) {
    AdmissionCandidate candidate;
    candidate.id.value = i + 1;
    candidate.open_flows = loads[i];
    candidate.capacity = 2000;
    input.candidates.push_back(candidate);
  }
  return input;
}

}  // namespace

TEST_CASE("a deciding agent within the bound keeps its flows") {
  CHECK(PlaceWithinBound(MakeInput({1000, 1005, 990}, 1)) == 1);
}

TEST_CASE(
    "a deciding agent over the bound hands flows to agents below the mean") {
  pcg64 random(1);
  std::map<size_t, int> chosen;
  for (int i = 0; i < 3000; ++i) {
    AdmissionInput input = MakeInput({1100, 1000, 800, 900}, 0);
    input.flow.high = random();
    ++chosen[*PlaceWithinBound(input)];
  }
  // The mean is 950: deficits are 150 and 50.
  CHECK(chosen.size() == 2);
  CHECK(chosen[2] > 2 * chosen[3]);
}

TEST_CASE("a starting server gets only its share of the mean") {
  AdmissionInput input = MakeInput({1000, 1000, 100}, 2);
  input.candidates[2].ramp = 0.1;
  CHECK(PlaceWithinBound(input) == 2);
  input.candidates[2].open_flows = 120;
  CHECK(PlaceWithinBound(input) != 2);
}

TEST_CASE("a shedding server gets no handovers") {
  AdmissionInput input = MakeInput({1500, 1000, 10}, 0);
  input.candidates[2].shedding = true;
  for (uint64_t i = 0; i < 200; ++i) {
    input.flow.high = i * 0x123456789ABCDEFU;
    CHECK(PlaceWithinBound(input) != 2);
  }
}

TEST_CASE("full servers get no flows, and no flow is placed if all are full") {
  AdmissionInput input = MakeInput({2000, 2000, 1999}, 0);
  CHECK(PlaceWithinBound(input) == 2);
  input.candidates[2].open_flows = 2000;
  CHECK_FALSE(PlaceWithinBound(input).has_value());
  CHECK_FALSE(PlaceAtHome(input).has_value());
  CHECK_FALSE(PlaceByTwoChoices(input).has_value());
}

}  // namespace medlargauge
