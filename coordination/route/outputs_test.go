package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestEstimatorLearnsPerCustomerAndClass(t *testing.T) {
	is := is.New(t)
	e := NewEstimator(0)
	for range 100 {
		e.Learn("a", "verdict", 20)
		e.Learn("b", "reply", 200)
	}
	is.Equal(e.Expected("a", "verdict", 1000), 20)
	is.Equal(e.Expected("b", "reply", 1000), 200)
	is.Equal(e.Expected("new", "reply", 1000), 200) // a new flow starts from its class
	is.Equal(e.Expected("b", "reply", 50), 50)      // at most maxTokens
	for range 10 {
		e.Learn("a", "verdict", 80)
	}
	is.True(e.Expected("a", "verdict", 1000) > 40) // recent answers weigh more
}

func TestLongOutputIsAboveMostOfThem(t *testing.T) {
	is := is.New(t)
	e := NewEstimator(0)
	for i := range 2000 {
		e.Learn("a", "c", 100+i*37%200) // uniform from 100 to 299
	}
	long := e.LongOutput("a", "c", 1000)
	is.True(long > 245 && long < 290)
}

func TestEstimatorIsBounded(t *testing.T) {
	is := is.New(t)
	e := NewEstimator(10)
	for i := range 1000 {
		e.Learn(fmt.Sprint("customer-", i), fmt.Sprint("class-", i), 10)
	}
	is.Equal(len(e.flows), 10)
	is.Equal(len(e.classes), maxClasses)
	is.Equal(e.Expected("customer-999", "class-999", 0), 10)
}
