#pragma once

#include <random>

namespace cyclamenhatch {

/// Source of randomness, passed into decisions so that a seed repeats a run.
using random_source = std::mt19937_64;

} // namespace cyclamenhatch
