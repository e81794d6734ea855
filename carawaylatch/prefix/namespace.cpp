// Salts of cache namespaces.
//
// The fields are hashed with their lengths, so that two different namespaces never give
// the same byte string ("ab" + "c" and "a" + "bc"). A collision of two 64-bit hashes
// among the few thousand namespaces of a fleet remains possible; the end-to-end check
// of the values that the engine echoes is the remaining safeguard.
#include "carawaylatch/prefix/namespace.h"

#include <string>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::prefix
{

namespace
{

void appendNumber(std::string &out, std::uint64_t number)
{
    for (unsigned shift = 0; shift < 64; shift += 8) {
        out.push_back(static_cast<char>(number >> shift));
    }
}

void appendField(std::string &out, std::string_view field)
{
    appendNumber(out, field.size());
    out += field;
}

} // namespace

base::CacheSalt cacheSalt(const base::CustomerId &customer, const base::ModelId &model, base::WeightsVersion weightsVersion, std::string_view adapter)
{
    std::string encoded;
    appendField(encoded, customer.value());
    appendField(encoded, model.value());
    appendNumber(encoded, weightsVersion.value);
    appendField(encoded, adapter);
    const std::uint64_t salt = base::hash64(encoded);
    return base::CacheSalt{salt == 0 ? 1 : salt};
}

} // namespace carawaylatch::prefix
