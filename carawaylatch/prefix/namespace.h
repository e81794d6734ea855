// Cache namespaces: which requests may share cached prompt state.
//
// The salt is sent to the engine and seeds the hash chain over a prompt's blocks. Two
// requests share cached state only if customer, model, weights version and adapter are
// all equal.
#pragma once

#include <string_view>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::prefix
{

// Returns the salt of a namespace; never zero.
[[nodiscard]] base::CacheSalt cacheSalt(const base::CustomerId &customer, const base::ModelId &model, base::WeightsVersion weightsVersion,
                                        std::string_view adapter);

} // namespace carawaylatch::prefix
