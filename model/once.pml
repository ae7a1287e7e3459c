/*
 * At most once: dispatch, refusal, resend through two entries, change of ownership,
 * pause and resume, a lost reply of the object API, and a crash. One key, one partition,
 * one adapter that is pinned while the request runs.
 *
 * Each mechanism has a switch. `model/check` runs the model with all of them on, where no
 * assertion may fail, and with each one off, where one must.
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
#ifndef TRUTH     /* "not run" is said only where nothing was sent */
#define TRUTH 1
#endif
#ifndef READBACK  /* a write with a lost reply is not counted on before a read */
#define READBACK 1
#endif
#ifndef PIN       /* no unload while a request uses the adapter */
#define PIN 1
#endif
#ifndef HIGHER    /* only a higher revision is put in force */
#define HIGHER 1
#endif

#define RUNS 3    /* runs of entries that may hold the partition: 1, 2, 3 */
#define ENTRIES 2
#define NONE 0

/* The object: which run holds the partition, from which birth, until which. */
byte obj_holder = 1;
byte obj_from = 0;
byte obj_until = 1;

/* What each run believes of itself; a paused run's belief may be old. */
byte from_[4];
byte until_[4];
bool holds[4];
bool claimed[4];     /* its memory of the one key */
bool ended[4];       /* it crashed */
bool paused[4];

byte birth = 0;      /* of the key: in the range of run 1 or of a later one */
byte executions = 0; /* times that an endpoint got the request */
bool maybe_ran = false;
byte users = 0;      /* requests that use the adapter */
bool resident = true;

/* A holder answers a claim: granted, or not known to be free. */
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

/* An entry with the key: it picks a run that it believes to hold the partition. */
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
		/* Answered "unknown" at once: an earlier attempt may have run. */
		goto done
	:: granted -> skip
	fi;
	/* Dispatch. The agent checks that the adapter is there, and pins it. */
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
		/* "not run": the key is given back to its holder. */
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
			/* Says "not run" and gives the key back. */
			assert(!ran);
			claimed[r] = false
		}
	fi;
	atomic { assert(resident); users-- };
done:
	assert(executions <= 1)
}

/* Run 2 and then run 3 take the partition over, each from the end of the last range. */
proctype Takeover() {
	byte me = 2;
	bool lost;
	do
	:: (me <= RUNS) ->
		atomic {
			/* The conditional update, by a run that read the object just now. */
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
		:: (lost && READBACK) -> skip        /* it reads the object before it acts */
		:: (lost && !READBACK) ->
			/* It believes its write failed and writes a range anew, yet counts
			   on the one that it meant first. */
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

/* Run 1 may be paused and go on, still believing that it holds its range; or crash. */
proctype Faults() {
	if
	:: true -> paused[1] = true; paused[1] = false
	:: true -> ended[1] = true
	:: true -> skip
	fi
}

/* The agent unloads the adapter for another one. */
proctype Unload() {
	if
	:: atomic { (!PIN || users == 0) -> resident = false }
	:: true -> skip
	fi
}

/* Two changes arrive at a process in any order. */
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
