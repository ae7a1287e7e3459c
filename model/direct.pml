/*
 * Entries that send directly to endpoints: the decision whether one request is sent, and
 * the orders of one agent to its engine, with lost and late orders and restarts of both.
 *
 * Each mechanism has a switch. `model/check` runs the model with all switches on, where
 * no assertion may fail, and with each switch off, where an assertion must fail.
 */

#ifndef ONCE      /* a request that may have run is retried only if repeatable */
#define ONCE 1
#endif
#ifndef HISTORY   /* "not run" is reported only if no attempt may have run */
#define HISTORY 1
#endif
#ifndef FLIGHT    /* a planned stop refuses only requests that are at no endpoint */
#define FLIGHT 1
#endif
#ifndef COUNT     /* an order states the number of orders executed before it */
#define COUNT 1
#endif
#ifndef NAMED     /* an order names the run to which it is addressed */
#define NAMED 1
#endif
#ifndef LOOK      /* an agent reads a report before its first order */
#define LOOK 1
#endif

#define MAX_ATTEMPTS 4
#define PLACES 2
#define ADAPTERS 3
#define MAX_RUNS 2     /* runs of the engine */
#define MAX_TAKEN 5    /* orders executed in one run */

/* ---- Whether a request is sent ---- */

byte executions = 0;  /* how often an endpoint ran or may still run the request */
bool settled = false; /* the request has ended */
bool refused = false; /* the caller received "not run" */

mtype = { unsent, rejected, failed, unclear };

proctype Request() {
	byte attempts = 0;
	bool may_have_run = false;
	bool repeatable;
	mtype end;
	if :: repeatable = true :: repeatable = false fi;
	do
	:: attempts++;
		if
		:: end = unsent
		:: end = rejected
		:: executions++; end = failed
		:: executions++; goto over          /* the answer reaches the caller */
		:: executions++; end = unclear      /* has run, or runs later */
		:: end = unclear                    /* never ran */
		:: executions++;                    /* a stop while it is at an endpoint */
			if
			:: FLIGHT -> goto over
			:: !FLIGHT -> refused = true; goto over
			fi
		:: !(HISTORY && may_have_run) ->    /* a stop between attempts */
			refused = true; goto over
		fi;
		bool may = (end == failed || end == unclear);
		if
		:: ((may || may_have_run) && !repeatable && ONCE) || attempts == MAX_ATTEMPTS ->
			refused = !(may || (HISTORY && may_have_run));
			goto over
		:: else -> may_have_run = may_have_run || may
		fi
	od;
over:
	assert(repeatable || executions <= 1);
	assert(!refused || executions == 0);
	settled = true
}

/* ---- Orders ---- */

byte life = 1;        /* the run of the engine */
byte taken = 1;       /* orders executed in this run; the first loaded the base model */
bool held[ADAPTERS + 1];

bool late = false;    /* an unanswered order is executed later */
bool late_load; byte late_target; byte late_life; byte late_taken;

bool knows = false;   /* the agent has read a report and, since then, an answer to each order */
byte known_life; byte known_taken;
bool known[ADAPTERS + 1];

#define count(a) (a[1] + a[2] + a[3])

/* The engine receives an order; it skips an order whose run or count does not match. */
inline execute(load, target, r, t, done) {
	done = false;
	if
	:: (NAMED && r != life) || (COUNT && t != taken) || taken == MAX_TAKEN -> skip
	:: else ->
		held[target] = load;
		assert(count(held) <= PLACES);
		taken++;
		done = true
	fi
}

inline report() {
	known_life = life;
	known_taken = taken;
	known[1] = held[1]; known[2] = held[2]; known[3] = held[3];
	knows = true
}

proctype Agent() {
	byte target;
	bool load;
	bool done;
	do
	:: atomic { !knows -> report() }
	:: atomic { knows && taken < MAX_TAKEN ->
		if :: target = 1 :: target = 2 :: target = 3 fi;
		load = !known[target];
		if
		:: load && count(known) >= PLACES -> skip   /* another adapter is unloaded first */
		:: else ->
			if
			:: execute(load, target, known_life, known_taken, done);   /* answered */
				if
				:: done -> known[target] = load; known_taken = known_taken + 1
				:: !done -> knows = false
				fi
			:: execute(load, target, known_life, known_taken, done);   /* the answer is lost */
				knows = false
			:: !late ->                                           /* executed later */
				late = true;
				late_load = load; late_target = target;
				late_life = known_life; late_taken = known_taken;
				knows = false
			:: knows = false                                      /* never executed */
			fi
		fi }
	:: atomic { knows ->                                          /* the agent restarts */
		if
		:: LOOK -> knows = false
		:: !LOOK ->
			known[1] = false; known[2] = false; known[3] = false;
			known_life = life; known_taken = taken
		fi }
	:: taken == MAX_TAKEN -> break
	od
}

proctype Network() {
	bool done;
end:	do
	:: atomic { late -> execute(late_load, late_target, late_life, late_taken, done); late = false }
	:: taken == MAX_TAKEN -> break
	od
}

proctype Restart() {
	atomic { life < MAX_RUNS ->
		life++;
		taken = 1;
		held[1] = false; held[2] = false; held[3] = false }
}

/* The two parts share no state, so they run one after the other. */
init {
	run Request();
	settled;
	atomic {
		run Agent();
		run Network();
		run Restart()
	}
}
