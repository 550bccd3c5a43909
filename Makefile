# Build, test, lint and run. `make run` needs ROUTER_CONFIG and the other variables that the platform sets.
.PHONY: build test format lint run edge demo measure-ledger measure-fleet measure-spread measure-duties search-duty soak acceptance clean

build:
	mvn -q -DskipTests package
	java -XX:ArchiveClassesAtExit=target/nettlewick.jsa -XX:+UseSerialGC -Xlog:cds=off -Xlog:cds+dynamic=off \
		-jar target/nettlewick.jar warm

test:
	mvn -B --no-transfer-progress verify

# Formats the sources as CI requires.
format:
	mvn -q spotless:apply

# Checks format and style, compiles with warnings as errors, and runs the layout and architecture tests.
lint:
	mvn -q spotless:check checkstyle:check
	mvn -q -Dmaven.compiler.failOnWarning=true clean test-compile
	mvn -q -Dtest='LayoutTest,ArchitectureTest' surefire:test

run: build
	java -XX:SharedArchiveFile=target/nettlewick.jsa -XX:+UseSerialGC -jar target/nettlewick.jar serve

edge: build
	java -XX:SharedArchiveFile=target/nettlewick.jsa -XX:+UseSerialGC -jar target/nettlewick.jar serve \
		--settings deploy/nettlewick.conf

# Runs the whole system in one process on loopback and prints example calls; Ctrl-C ends it.
demo:
	mvn -q -DskipTests package
	java -XX:+UseSerialGC -jar target/nettlewick.jar demo

# Measures the cost and the capacity of the ledger in under a minute; the last lines are name=value. Needs an idle machine.
measure-ledger:
	mvn -q -DskipTests test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/test-classes:target/classes:$$(cat target/classpath) nettlewick.ledger.MeasureLedger

# Measures the cost of the decision module for growing fleets, in virtual time; the last lines are name=value, per dispatcher.
measure-fleet:
	mvn -q -DskipTests test-compile
	java -XX:+UseSerialGC -Xmx4g -cp target/test-classes:target/classes nettlewick.decision.MeasureFleet

# Measures how evenly hundreds of real processes spread load; takes up to 10 minutes, needs all cores and 20 GB.
measure-spread: build
	mvn -q -DskipTests test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -XX:+UseSerialGC -Xmx2g -cp target/nettlewick.jar:target/test-classes:$$(cat target/classpath) \
		nettlewick.fleettest.MeasureSpread

# Measures how many real processes move noisy tenants, compared with contention detection off; some minutes, needs all cores.
measure-duties: build
	mvn -q -DskipTests test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -XX:+UseSerialGC -Xmx2g -cp target/nettlewick.jar:target/test-classes:$$(cat target/classpath) \
		nettlewick.fleettest.MeasureDuties $(SIZE)

# Searches more orders of lease messages and faults than the tests do; some minutes, one core.
search-duty:
	mvn -q -DskipTests test-compile
	mvn -q -Dtest='LeaseSearchTest,ScaleOutPolicyTest' -DargLine="-Dsearch.walks=100000 -Dsearch.states=1000000 -Xmx6g" surefire:test

# Random rolling restarts of real processes, generated from seeds, with SIGKILL at the earliest allowed time; about 13 s
# per seed. SEED=n repeats one seed. Folders of seeds that violated a rule keep the logs of their processes.
SEEDS ?= 50
FROM ?= 1
SOAK_FOLDER ?= target/soak
soak: build
	java -XX:+UseSerialGC -Xmx1g -jar target/nettlewick.jar fleet-test soak \
		$(if $(SEED),--from $(SEED) --seeds 1,--from $(FROM) --seeds $(SEEDS)) --out $(SOAK_FOLDER)

# The operators' quick acceptance test for four sites; about 25 minutes, needs all cores. KIT is the folder of their programs.
KIT ?= ../given/kit
WHY ?= quick acceptance of four sites
acceptance:
	deploy/acceptance.sh $(KIT) "$(WHY)"

clean:
	mvn -q clean
