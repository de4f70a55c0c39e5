#pragma once

#include <random>

namespace cyclamenhatch {

/// Random number generator, passed as an argument so that a seed reproduces a run.
using random_source = std::mt19937_64;

} // namespace cyclamenhatch
