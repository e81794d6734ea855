// Import rules for exported KV blocks.
//
// An import is safe only if the blocks were computed for the same namespace and weights
// and are complete. An open manifest may still be written by its exporter; it is valid
// only while that incarnation runs and can be queried. The plain fields are compared in
// addition to the salt, so that a hash collision of two salts is not sufficient.
#include "carawaylatch/prefix/manifest.h"

#include <algorithm>

namespace carawaylatch::prefix
{

base::Result<std::uint32_t> checkImport(const Manifest &manifest, const ImportTarget &target)
{
    if (manifest.salt != target.salt || manifest.model != target.model || manifest.weightsVersion != target.weightsVersion
        || manifest.adapter != target.adapter) {
        return base::fail(base::ErrorKind::StaleState, "the manifest belongs to another namespace or weights version; compute the prompt instead");
    }
    const bool isExporterAlive = manifest.incarnation.value != 0 && manifest.incarnation == target.liveExporterIncarnation;
    if (manifest.sealing != Sealing::Sealed && !isExporterAlive) {
        return base::fail(base::ErrorKind::StaleState, "the exporter stopped before it sealed the manifest; compute the prompt instead");
    }
    const auto end = std::mismatch(manifest.blocks.begin(), manifest.blocks.end(), target.chain.begin(), target.chain.end()).first;
    return static_cast<std::uint32_t>(end - manifest.blocks.begin());
}

base::Duration importSaving(std::uint32_t blocks, std::uint32_t tokensPerBlock, double prefillTokensPerSecond, const ImportCost &cost)
{
    if (blocks == 0 || prefillTokensPerSecond <= 0 || cost.bytesPerSecond <= 0) {
        return {};
    }
    const double compute = static_cast<double>(blocks) * tokensPerBlock / prefillTokensPerSecond;
    const double transfer = base::toSeconds(cost.roundTrip) + static_cast<double>(blocks) * static_cast<double>(cost.bytesPerBlock) / cost.bytesPerSecond;
    return base::fromSeconds(std::max(0.0, compute - transfer));
}

} // namespace carawaylatch::prefix
