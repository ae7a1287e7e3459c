/*
 * Execution at most once: dispatch, refusal, retry through two entries, change of the
 * partition's holder, pause and resume, a lost reply of the object API, and a crash. The
 * model has one key, one partition, and one adapter that is pinned while the request
 * runs.
 *
 * Each mechanism has a switch. `model/check` runs the model with all switches on, where
 * no assertion may fail, and with each switch off, where an assertion must fail.
 */

#ifndef RANGE     /* a holder grants only births within its own range */
#define RANGE 1
#endif
#ifndef TABLE     /* a holder grants a key once */
#define TABLE 1
#endif
#ifndef CLAIM     /* an entry runs nothing before its claim is granted */
#define CLAIM 1
#endif
#ifndef TRUTH     /* "not run" is reported only if nothing was sent */
#define TRUTH 1
#endif
#ifndef READBACK  /* after a write with a lost reply, the object is read first */
#define READBACK 1
#endif
#ifndef PIN       /* an adapter is not unloaded while a request uses it */
#define PIN 1
#endif
#ifndef HIGHER    /* only a higher revision comes into force */
#define HIGHER 1
#endif

#define RUNS 3    /* entry runs that may hold the partition: 1, 2, 3 */
#define ENTRIES 2
#define NONE 0

/* The object: the run that holds the partition, and its range of births. */
byte obj_holder = 1;
byte obj_from = 0;
byte obj_until = 1;

/* Each run's own view of its tenure; the view of a paused run may be stale. */
byte from_[4];
byte until_[4];
bool holds[4];
bool claimed[4];     /* its record of the key */
bool ended[4];       /* crashed */
bool paused[4];

byte birth = 0;      /* of the key: in the range of run 1 or of a later run */
byte executions = 0; /* how often an endpoint received the request */
bool maybe_ran = false;
byte users = 0;      /* requests that use the adapter */
bool resident = true;

/* The holder's decision on a claim: grants the key only if it is known to be free. */
inline decide(r, granted) {
	granted = false;
	if
	:: (holds[r] && !ended[r] && !paused[r]) ->
		if
		:: (RANGE && !(birth >= from_[r] && birth < until_[r])) -> skip
		:: (TABLE && claimed[r]) -> skip
		:: else -> granted = true; claimed[r] = true
		fi
	:: else -> skip
	fi
}

/* An entry with the key; it takes any of the runs for the holder. */
proctype Entry() {
	byte r;
	bool granted = false;
	bool sent = false;
	bool ran = false;

	select(r : 1 .. RUNS);
	if
	:: CLAIM -> atomic { decide(r, granted) }
	:: !CLAIM -> granted = true
	fi;
	if
	:: !granted ->
		/* Answers "unknown" at once, since an earlier attempt may have run. */
		goto done
	:: granted -> skip
	fi;
	/* Dispatch. The agent checks that the adapter is resident, and pins it. */
	if
	:: atomic { resident -> users++; executions++; sent = true; ran = true;
		maybe_ran = true }
	:: true -> skip                      /* refused before anything was sent */
	:: atomic { resident -> users++; executions++; sent = true; ran = true;
		maybe_ran = true };
		goto unclear                 /* the reply is lost */
	fi;
	if
	:: !sent ->
		/* "not run": the holder releases the key. */
		atomic {
			assert(!ran);
			if
			:: (!ended[r]) -> claimed[r] = false
			:: else -> skip
			fi
		}
	:: sent -> atomic { assert(resident); users-- }
	fi;
	goto done;
unclear:
	if
	:: TRUTH -> skip                     /* "unknown": the key stays claimed */
	:: !TRUTH -> atomic {
			/* Reports "not run" and releases the key. */
			assert(!ran);
			claimed[r] = false
		}
	fi;
	atomic { assert(resident); users-- };
done:
	assert(executions <= 1)
}

/* Run 2 and then run 3 take over the partition, each from the end of the last range. */
proctype Takeover() {
	byte me = 2;
	bool lost;
	do
	:: (me <= RUNS) ->
		atomic {
			/* The conditional update, by a run that has just read the object. */
			lost = false;
			obj_from = obj_until;
			obj_until = obj_until + 1;
			obj_holder = me;
			if
			:: true -> lost = true       /* the reply is lost */
			:: true -> skip
			fi
		}
		if
		:: (lost && READBACK) -> skip        /* reads the object first */
		:: (lost && !READBACK) ->
			/* Takes the write for failed and writes another range, but acts on
			   the range that it intended first. */
			atomic { from_[me] = 0; until_[me] = obj_until; holds[me] = true };
			goto next
		:: else -> skip
		fi;
		atomic { from_[me] = obj_from; until_[me] = obj_until; holds[me] = true };
next:
		me++
	:: else -> break
	od
}

/* Run 1 may be paused and resume with a stale view of its tenure, or may crash. */
proctype Faults() {
	if
	:: true -> paused[1] = true; paused[1] = false
	:: true -> ended[1] = true
	:: true -> skip
	fi
}

/* The agent unloads the adapter to make room for another adapter. */
proctype Unload() {
	if
	:: atomic { (!PIN || users == 0) -> resident = false }
	:: true -> skip
	fi
}

/* Three updates arrive at a process, with revisions in any order. */
proctype Revision() {
	byte in_force = 0;
	byte before;
	byte came;
	byte left = 3;
	do
	:: (left > 0) ->
		select(came : 1 .. 3);
		before = in_force;
		if
		:: (HIGHER && came <= in_force) -> skip
		:: else -> in_force = came
		fi;
		assert(in_force >= before);
		left--
	:: else -> break
	od
}

init {
	byte i;
	atomic {
		from_[1] = 0;
		until_[1] = 1;
		holds[1] = true;
		select(birth : 0 .. 2);
		for (i : 1 .. ENTRIES) {
			run Entry()
		}
		run Takeover();
		run Faults();
		run Unload();
		run Revision()
	}
}
