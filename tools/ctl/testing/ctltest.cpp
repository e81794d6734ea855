// Tests of the commands of carawaylatchctl against an in-memory store and a fake router:
// exit codes, output and what is written.
#include "tools/ctl/command.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

#include "carawaylatch/config/configstore.h"
#include "carawaylatch/store/faultystore.h"
#include "carawaylatch/store/memorystore.h"
#include "carawaylatch/telemetry/explainreport.h"
#include "carawaylatch/telemetry/statusreport.h"
#include "tools/common/commandline.h"

namespace carawaylatch::ctl::testing
{

namespace
{

using tools::ExitCode;

const std::string Customer = "[customer acme]\nkey_digest = 0123456789abcdef0123456789abcdef\n";
const std::string Pool = "[pool readers]\nmodel = clause-7b\nweights_version = 3\nmember = engine-1 10.0.0.1:8000 dakar-a\n";
const std::string Route = "[route contracts]\npath = /v1/completions\nmodel = clause-7b\npool = readers\n";

// Responds as a router does. With `isReachable` off, calls fail as for a router that is down.
class FakeRouter : public RouterClient
{
public:
    base::Result<std::string> status() override
    {
        telemetry::StatusReport report;
        report.router.id = base::RouterId("router-1");
        report.router.revision = revision;
        report.peers.push_back({.id = base::RouterId("router-2"), .domain = {}, .revision = revision});
        report.upstreams.push_back({.id = base::UpstreamId("engine-1"), .pool = {}, .domain = {}, .endpoint = {}, .state = telemetry::UpstreamState::Leaving});
        return respond(telemetry::renderStatusJson(report));
    }
    base::Result<std::string> drain(std::string_view upstream) override
    {
        if (upstream != "engine-1") {
            return base::fail(base::ErrorKind::Forbidden, "no upstream " + std::string(upstream) + "; 'status' lists all");
        }
        return respond("{}");
    }
    base::Result<std::string> undrain(std::string_view upstream) override
    {
        return drain(upstream);
    }
    base::Result<std::string> explain(const ExplainRequest &request) override
    {
        lastExplain = request;
        telemetry::ExplainReport report;
        report.chosen = base::UpstreamId("engine-1");
        return respond(telemetry::renderExplainJson(report));
    }

    bool isReachable = true;
    base::Revision revision;
    ExplainRequest lastExplain;

private:
    base::Result<std::string> respond(std::string body) const
    {
        if (!isReachable) {
            return base::fail(base::ErrorKind::Unavailable, "router was not reached; check --router");
        }
        return body;
    }
};

} // namespace

class CtlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CtlTest);
    CPPUNIT_TEST(testExitCodes);
    CPPUNIT_TEST(testApplyGetDiffHistory);
    CPPUNIT_TEST(testDryRunWritesNothing);
    CPPUNIT_TEST(testRemoveAndWhole);
    CPPUNIT_TEST(testConflictingEditIsRefused);
    CPPUNIT_TEST(testPlatformDown);
    CPPUNIT_TEST(testWaitForRouters);
    CPPUNIT_TEST(testRouterCommands);
    CPPUNIT_TEST(testEveryCommandHasHelpAndJson);
    CPPUNIT_TEST(testCommandLine);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::string folder = std::filesystem::temp_directory_path() / "ctltest-XXXXXX";
        CPPUNIT_ASSERT(mkdtemp(folder.data()) != nullptr);
        m_folder = folder;
        write("all.ini", Customer + "\n" + Pool + "\n" + Route);
    }
    void tearDown() override
    {
        std::filesystem::remove_all(m_folder);
    }

    void testExitCodes()
    {
        struct Row
        {
            std::vector<std::string> operands;
            ExitCode code;
            std::string message;
        };
        write("route.ini", Route);
        write("bad.ini", "[route x]\nno_such_key = 1\n");
        const std::vector<Row> rows{
            {{}, ExitCode::WrongUsage, "--help"},
            {{"frobnicate"}, ExitCode::WrongUsage, "unknown command 'frobnicate'"},
            {{"drain"}, ExitCode::WrongUsage, "write: carawaylatchctl drain UPSTREAM"},
            {{"drain", "a", "b"}, ExitCode::WrongUsage, "write: carawaylatchctl drain UPSTREAM"},
            {{"check", file("all.ini")}, ExitCode::Done, ""},
            {{"check", file("missing.ini")}, ExitCode::WrongUsage, "missing.ini"},
            {{"check", file("bad.ini")}, ExitCode::WrongUsage, "bad.ini:2"},
            {{"check", file("route.ini")}, ExitCode::WrongUsage, "readers"},
            {{"check", file("all.ini"), file("route.ini")}, ExitCode::WrongUsage, "is defined in another file too"},
            {{"apply"}, ExitCode::WrongUsage, "nothing to apply"},
            {{"apply", file("route.ini")}, ExitCode::WrongUsage, "readers"},
            {{"explain"}, ExitCode::WrongUsage, "--customer-key"},
            {{"drain", "engine-9"}, ExitCode::Refused, "no upstream engine-9"},
            {{"drain", "engine-1"}, ExitCode::Done, ""},
        };
        for (const auto &row : rows) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.operands.empty() ? "none" : row.operands.front() + m_message, static_cast<int>(row.code), run(row.operands));
            CPPUNIT_ASSERT_MESSAGE(row.message + " is not in: " + m_message, m_message.find(row.message) != std::string::npos);
        }
    }

    void testApplyGetDiffHistory()
    {
        m_options.author = "awa";
        CPPUNIT_ASSERT_EQUAL(0, run({"apply", file("all.ini")}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("accepted as revision 1, 3 rows changed") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, run({"apply", file("all.ini")}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("nothing to change") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, run({"get"}));
        write("got.ini", m_text);
        CPPUNIT_ASSERT_EQUAL(0, run({"diff", file("got.ini")}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("0 rows differ from revision 1") != std::string::npos);
        write("more.ini", Pool + "member = engine-2 10.0.0.2:8000 dakar-b\n");
        CPPUNIT_ASSERT_EQUAL(0, run({"diff", file("more.ini")}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("[pool readers] changed\n  + member = engine-2 10.0.0.2:8000 dakar-b\n1 rows differ") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, run({"apply", file("more.ini")}));
        CPPUNIT_ASSERT_EQUAL(0, run({"history"}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.starts_with("revision 2"));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("awa\n  put pool readers\nrevision 1") != std::string::npos);
    }

    void testDryRunWritesNothing()
    {
        m_options.applyMode = ApplyMode::DryRun;
        CPPUNIT_ASSERT_EQUAL(0, run({"apply", file("all.ini")}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("nothing was written") != std::string::npos);
        CPPUNIT_ASSERT(m_objects.list("").value().written.empty());
    }

    void testRemoveAndWhole()
    {
        CPPUNIT_ASSERT_EQUAL(0, run({"apply", file("all.ini")}));
        m_options.removals = {"pool readers"};
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a route needs it", 2, run({"apply"}));
        m_options.removals = {"route nothing"};
        CPPUNIT_ASSERT_EQUAL(2, run({"apply"}));
        m_options.removals = {"route contracts"};
        CPPUNIT_ASSERT_EQUAL(0, run({"apply"}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("[route contracts] removed") != std::string::npos);
        m_options.removals.clear();
        m_options.scope = TableScope::Whole;
        write("customer.ini", Customer);
        CPPUNIT_ASSERT_EQUAL(0, run({"apply", file("customer.ini")}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("[pool readers] removed") != std::string::npos);
    }

    void testConflictingEditIsRefused()
    {
        CPPUNIT_ASSERT_EQUAL(0, run({"apply", file("all.ini")}));
        CPPUNIT_ASSERT_EQUAL(0, run({"get"}));
        write("mine.ini", m_text + "\n");
        write("theirs.ini", Customer + "weight = 2\n");
        CPPUNIT_ASSERT_EQUAL(0, run({"apply", file("theirs.ini")}));
        // "mine" was read at revision 1 and edits the same row.
        std::string mine = textOf("mine.ini");
        mine.insert(mine.find("key_digest"), "weight = 3\n");
        write("mine.ini", mine);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(m_message, 3, run({"apply", file("mine.ini")}));
    }

    void testPlatformDown()
    {
        m_isPlatformDown = true;
        for (const auto *command : {"get", "history"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(command, 4, run({command}));
        }
        CPPUNIT_ASSERT_EQUAL(4, run({"apply", file("all.ini")}));
        CPPUNIT_ASSERT_EQUAL(4, run({"diff", file("all.ini")}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("check needs no platform", 0, run({"check", file("all.ini")}));
    }

    void testWaitForRouters()
    {
        m_options.wait = base::milliseconds{1};
        CPPUNIT_ASSERT_EQUAL_MESSAGE("routers lag", 3, run({"apply", file("all.ini")}));
        CPPUNIT_ASSERT_MESSAGE(m_message, m_message.find("in force at 0 of 2 routers") != std::string::npos);
        m_router.revision.value = 9;
        write("customer.ini", Customer + "weight = 2\n");
        CPPUNIT_ASSERT_EQUAL(0, run({"apply", file("customer.ini")}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("in force at 2 of 2 routers") != std::string::npos);
    }

    void testRouterCommands()
    {
        write("prompt.txt", "a \"quoted\" prompt");
        m_options.customerKey = "secret";
        m_options.model = "clause-7b";
        m_options.promptFile = file("prompt.txt");
        CPPUNIT_ASSERT_EQUAL(0, run({"explain"}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("would go to engine-1") != std::string::npos);
        CPPUNIT_ASSERT(m_router.lastExplain.body.find(R"("prompt":"a \"quoted\" prompt")") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), m_router.lastExplain.customerKey);
        CPPUNIT_ASSERT_EQUAL(0, run({"status"}));
        CPPUNIT_ASSERT_MESSAGE(m_text, m_text.find("NOT READY") != std::string::npos && m_text.find("leaving") != std::string::npos);
        m_router.isReachable = false;
        for (const auto *command : {"status", "explain"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(command, 4, run({command}));
        }
        CPPUNIT_ASSERT_EQUAL(4, run({"undrain", "engine-1"}));
    }

    void testEveryCommandHasHelpAndJson()
    {
        CPPUNIT_ASSERT_EQUAL(0, run({"apply", file("all.ini")}));
        m_options.output = OutputFormat::Json;
        for (const auto *command : allCommands()) {
            CPPUNIT_ASSERT_MESSAGE(std::string(command->name), !command->help.empty());
        }
        const std::vector<std::vector<std::string>> calls{
            {"check", file("all.ini")}, {"get"},   {"diff", file("all.ini")}, {"history"}, {"apply", file("all.ini")}, {"drain", "engine-1"},
            {"undrain", "engine-1"},    {"status"}};
        for (const auto &call : calls) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(call.front(), 0, run(call));
            CPPUNIT_ASSERT_MESSAGE(call.front() + ": " + m_text, m_text.starts_with("{") || m_text.starts_with("["));
        }
    }

    void testCommandLine()
    {
        const std::vector<const char *> good{"apply", "--", "--file"};
        CPPUNIT_ASSERT(tools::parseCommandLine(good).value() == (std::vector<std::string>{"apply", "--file"}));
        const std::vector<const char *> unknown{"--no-such-flag"};
        CPPUNIT_ASSERT(tools::parseCommandLine(unknown).error().message.find("--no-such-flag") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::WrongUsage), static_cast<int>(tools::exitCodeFor(tools::parseCommandLine(unknown).error().kind)));
        for (const auto *text : {"127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "host:80", ""}) {
            CPPUNIT_ASSERT_MESSAGE(text, !tools::parseEndpointFlag("router", text));
        }
    }

private:
    // Runs a command. Returns its exit code and keeps its output and error message.
    int run(std::vector<std::string> operands)
    {
        std::ostringstream out;
        ++m_options.editSeed;
        store::FaultyStore down(m_objects);
        if (m_isPlatformDown) {
            down.inject(store::StoreFault::Down);
        }
        CommandContext context{m_options, std::move(operands), down, m_router, out};
        const auto done = runCommand(context);
        m_text = out.str();
        m_message = done ? "" : done.error().message;
        return done ? 0 : static_cast<int>(tools::exitCodeFor(done.error().kind));
    }
    [[nodiscard]] std::string file(const std::string &name) const
    {
        return m_folder + "/" + name;
    }
    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(file(name)) << text;
    }
    [[nodiscard]] std::string textOf(const std::string &name) const
    {
        std::ostringstream text;
        text << std::ifstream(file(name)).rdbuf();
        return text.str();
    }

    std::string m_folder;
    CommandOptions m_options;
    store::MemoryStore m_objects;
    bool m_isPlatformDown = false;
    FakeRouter m_router;
    std::string m_text;
    std::string m_message;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlTest);

} // namespace carawaylatch::ctl::testing
