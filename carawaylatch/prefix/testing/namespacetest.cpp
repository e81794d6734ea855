// Cache namespaces and block chains: different namespaces share no block key.
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/prefix/chain.h"
#include "carawaylatch/prefix/manifest.h"
#include "carawaylatch/prefix/namespace.h"
#include "testing/seed.h"

namespace carawaylatch::prefix::testing
{

namespace
{

// All strings over {a, b} of at most `length` letters.
std::vector<std::string> words(std::size_t length)
{
    std::vector<std::string> all{""};
    for (std::size_t i = 0; i < all.size() && all[i].size() < length; ++i) {
        all.push_back(all[i] + 'a');
        all.push_back(all[i] + 'b');
    }
    return all;
}

std::string randomText(base::Random &random, std::size_t length)
{
    std::string text(length, ' ');
    for (auto &it : text) {
        it = static_cast<char>('a' + random.below(26));
    }
    return text;
}

} // namespace

class NamespaceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NamespaceTest);
    CPPUNIT_TEST(testAllSmallNamespacesDiffer);
    CPPUNIT_TEST(testGeneratedNamespacesShareNoKey);
    CPPUNIT_TEST(testChainNamesWholePrefix);
    CPPUNIT_TEST(testImportRules);
    CPPUNIT_TEST(testImportSaving);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAllSmallNamespacesDiffer()
    {
        std::set<std::uint64_t> salts;
        std::set<std::uint64_t> keys;
        std::size_t namespaces = 0;
        for (const auto &customer : words(3)) {
            for (const auto &model : words(2)) {
                for (const auto &adapter : words(2)) {
                    for (std::uint64_t version = 0; version < 3; ++version) {
                        const auto salt = cacheSalt(base::CustomerId{customer}, base::ModelId{model}, {version}, adapter);
                        salts.insert(salt.value);
                        for (const auto key : blockHashChain("aabb", salt, 2)) {
                            keys.insert(key);
                        }
                        ++namespaces;
                    }
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(namespaces, salts.size());
        CPPUNIT_ASSERT_EQUAL(2 * namespaces, keys.size());
    }

    void testGeneratedNamespacesShareNoKey()
    {
        base::Random random(carawaylatch::testing::seed());
        const std::string prompt = randomText(random, 400);
        std::set<std::uint64_t> keys;
        std::size_t n = 0;
        for (int i = 0; i < 2000; ++i) {
            // Only the version is unique; the other fields may be equal.
            const auto salt = cacheSalt(base::CustomerId{randomText(random, random.below(3))}, base::ModelId{randomText(random, random.below(2))},
                                        {static_cast<std::uint64_t>(i)}, randomText(random, random.below(2)));
            for (const auto key : blockHashChain(prompt, salt, 100)) {
                keys.insert(key);
                ++n;
            }
        }
        CPPUNIT_ASSERT_EQUAL(n, keys.size());
    }

    void testChainNamesWholePrefix()
    {
        const base::CacheSalt salt{7};
        const auto chain = blockHashChain("aaaabbbbccccd", salt, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chain.size());
        CPPUNIT_ASSERT_EQUAL(base::hash64("aaaa", salt.value), chain[0]);
        CPPUNIT_ASSERT_EQUAL(base::hash64("bbbb", chain[0]), chain[1]);
        const auto other = blockHashChain("aaaaxxxxcccc", salt, 4);
        CPPUNIT_ASSERT_EQUAL(chain[0], other[0]);
        CPPUNIT_ASSERT(chain[2] != other[2]);
        CPPUNIT_ASSERT(blockHashChain("aaa", salt, 4).empty());
        CPPUNIT_ASSERT(blockHashChain("aaa", salt, 0).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, promptTokens("aaaab"));
    }

    void testImportRules()
    {
        struct Row
        {
            const char *name;
            void (*change)(Manifest &, ImportTarget &);
            int blocks; // -1: the import is refused
        };
        const Row rows[] = {
            {"sealed, exporter gone",
             [](Manifest &manifest, ImportTarget &) {
                 manifest.sealing = Sealing::Sealed;
             },
             3},
            {"open, exporter alive",
             [](Manifest &, ImportTarget &target) {
                 target.liveExporterIncarnation = {5};
             },
             3},
            {"open, exporter gone", [](Manifest &, ImportTarget &) {}, -1},
            {"open, exporter restarted",
             [](Manifest &, ImportTarget &target) {
                 target.liveExporterIncarnation = {6};
             },
             -1},
            {"open, incarnation missing",
             [](Manifest &manifest, ImportTarget &) {
                 manifest.incarnation = {};
             },
             -1},
            {"other salt",
             [](Manifest &manifest, ImportTarget &) {
                 manifest.sealing = Sealing::Sealed, manifest.salt = {2};
             },
             -1},
            {"other model",
             [](Manifest &manifest, ImportTarget &) {
                 manifest.sealing = Sealing::Sealed, manifest.model = base::ModelId{"n"};
             },
             -1},
            {"older weights",
             [](Manifest &manifest, ImportTarget &) {
                 manifest.sealing = Sealing::Sealed, manifest.weightsVersion = {2};
             },
             -1},
            {"other adapter",
             [](Manifest &manifest, ImportTarget &) {
                 manifest.sealing = Sealing::Sealed, manifest.adapter = "x";
             },
             -1},
            {"chain parts early",
             [](Manifest &manifest, ImportTarget &) {
                 manifest.sealing = Sealing::Sealed, manifest.blocks[1] = 9;
             },
             1},
        };
        for (const auto &row : rows) {
            Manifest manifest{{1}, base::ModelId{"m"}, {3}, "a", base::UpstreamId{"e"}, {5}, Sealing::Open, {10, 11, 12}};
            ImportTarget target{{1}, base::ModelId{"m"}, {3}, "a", {}, {10, 11, 12, 13}};
            row.change(manifest, target);
            const auto result = checkImport(manifest, target);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.blocks >= 0, result.has_value());
            if (result.has_value()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, static_cast<std::uint32_t>(row.blocks), result.value());
            }
        }
    }

    void testImportSaving()
    {
        const ImportCost cost{1e9, 8'000'000, base::milliseconds{5}};
        CPPUNIT_ASSERT(importSaving(10, 1000, 10'000, cost) > base::milliseconds{900});
        CPPUNIT_ASSERT(importSaving(10, 1000, 1e9, cost) == base::Duration{});
        CPPUNIT_ASSERT(importSaving(0, 1000, 10'000, cost) == base::Duration{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NamespaceTest);

} // namespace carawaylatch::prefix::testing
